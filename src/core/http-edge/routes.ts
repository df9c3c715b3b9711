import type { IncomingMessage, ServerResponse } from 'node:http';
import { authenticate } from '../access';
import type { Caller, CompiledConfiguration, Service } from '../configuration';
import { chooseEntry, entryKey, toEntryAnswer } from '../entry';
import { REFUSALS, RefusalError } from '../refusals';
import { hashPair } from '../rendezvous';
import { allowedRegions } from '../residency';
import { answerJson } from './answer';
import { buildRequest, modelOf } from './build-request';
import type { RequestParts } from './build-request';
import { createHttpSink } from './http-sink';
import { createMeteredSink } from './metered-sink';
import { readBody } from './read-body';
import type { HttpEdgeOptions } from './types';

/** One request at the edge, before it is known what it asks for. */
export interface EdgeExchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
  /** Parameters of the path. */
  readonly params: Readonly<Record<string, string | undefined>>;
}

/** Answers one kind of request, or throws a `RefusalError`. */
export type EdgeHandler = (exchange: EdgeExchange) => Promise<void>;

/** What is known of a request once its body has been read. */
type ServedParts = Omit<RequestParts, 'incoming' | 'requestId'>;

interface KnownCaller {
  readonly caller: Caller;
  readonly configuration: CompiledConfiguration;
}

function neverSent(
  definition: (typeof REFUSALS)[keyof typeof REFUSALS],
  detail: string,
  step: string,
) {
  return new RefusalError(definition, { detail, step, evidence: { kind: 'neverSent' } });
}

/** The handlers of the callers' listener. */
export function createHandlers(options: HttpEdgeOptions) {
  const { clock, serving, metrics, configuration: store, membership, limits, region } = options;

  const identify = (incoming: IncomingMessage): KnownCaller => {
    const configuration = store.current();
    if (configuration === undefined) {
      throw neverSent(REFUSALS.notReady, 'No configuration has been read yet.', 'identify');
    }
    const caller = authenticate(incoming.headers.authorization, configuration);
    if (caller === undefined) {
      throw neverSent(REFUSALS.unauthenticated, 'The key is missing or unknown.', 'identify');
    }
    return { caller, configuration };
  };

  const requireRegion = (caller: Caller, service: Service): void => {
    const regions = allowedRegions(caller, service);
    if (regions.includes(region)) return;
    const detail = `Allowed are: ${regions.join(', ') || 'none'}.`;
    throw neverSent(REFUSALS.regionNotAllowed, detail, 'check-residency');
  };

  const pass = async (exchange: EdgeExchange, parts: ServedParts): Promise<void> => {
    const { incoming, response, requestId, signal } = exchange;
    const request = buildRequest({ incoming, requestId, ...parts }, clock);
    const sink = createMeteredSink(createHttpSink(response, requestId), {
      clock,
      metrics,
      service: parts.service.name,
      startedAtMs: clock.monotonicMs(),
    });
    await serving.serve(request, sink, signal);
  };

  const serveModel: EdgeHandler = async (exchange) => {
    const { incoming } = exchange;
    const { caller, configuration } = identify(incoming);
    if (!caller.regions.includes(region)) {
      const detail = `Allowed are: ${caller.regions.join(', ')}.`;
      throw neverSent(REFUSALS.regionNotAllowed, detail, 'check-residency');
    }
    const body = await readBody(incoming, limits.bodyBytes);
    const model = modelOf(body);
    const service = configuration.serviceOfModel(model);
    if (service === undefined) {
      throw neverSent(
        REFUSALS.unknownService,
        `No service has the model "${model}".`,
        'find-service',
      );
    }
    requireRegion(caller, service);
    const path = incoming.url ?? '/';
    await pass(exchange, { caller, service, path, body, configuration });
  };

  const servePlain: EdgeHandler = async (exchange) => {
    const { incoming, params } = exchange;
    const { caller, configuration } = identify(incoming);
    const name = params.service ?? '';
    const service = configuration.serviceNamed(name);
    if (service?.kind !== 'plain') {
      throw neverSent(REFUSALS.unknownService, `There is no service "${name}".`, 'find-service');
    }
    requireRegion(caller, service);
    const body = await readBody(incoming, limits.bodyBytes);
    const path = (incoming.url ?? '/').slice(`/services/${name}`.length) || '/';
    await pass(exchange, { caller, service, path, body, configuration });
  };

  const listModels: EdgeHandler = async ({ incoming, response }) => {
    const { caller, configuration } = identify(incoming);
    const data = configuration.document.services
      .filter((service) => allowedRegions(caller, service).length > 0)
      .flatMap((service) =>
        service.kind !== 'model'
          ? []
          : service.models.map((id) => ({
              id,
              object: 'model',
              created: 0,
              owned_by: service.name,
            })),
      );
    answerJson(response, 200, { object: 'list', data });
  };

  /** Any instance answers, one on its way out or in a barred region included: it knows the others. */
  const nameEntry: EdgeHandler = async ({ incoming, response, requestId }) => {
    const { caller } = identify(incoming);
    const choice = chooseEntry({
      members: membership.members(),
      regions: caller.regions,
      homeRegion: caller.homeRegion ?? region,
      key: entryKey(caller, incoming.socket.remoteAddress ?? ''),
    });
    if (choice === undefined) {
      const detail = 'No instance of an allowed region answers.';
      throw neverSent(REFUSALS.noServer, detail, 'choose-entry');
    }
    const scatter = hashPair('ask-again', requestId);
    answerJson(response, 200, toEntryAnswer(choice, clock.unixMs(), scatter));
  };

  const health: EdgeHandler = async ({ response }) => answerJson(response, 200, { status: 'ok' });

  const readiness: EdgeHandler = async ({ response }) => {
    const isReady = store.current() !== undefined && membership.self().status === 'alive';
    answerJson(response, isReady ? 200 : 503, { ready: isReady });
  };

  return { serveModel, servePlain, listModels, nameEntry, health, readiness };
}
