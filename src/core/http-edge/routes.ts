import type { IncomingMessage, ServerResponse } from 'node:http';
import { authenticate } from '../access';
import type { Caller, CompiledConfiguration } from '../configuration';
import { chooseEntry, entryKey, toEntryAnswer } from '../entry';
import { REFUSALS, RefusalError } from '../refusals';
import { hashPair } from '../rendezvous';
import { allowedRegions } from '../residency';
import type { GatewayRequest } from '../serving';
import { TICKET_HEADER, isNonRepeatable } from '../tickets';
import { answerJson } from './answer';
import { buildRequest, modelOf } from './build-request';
import type { RequestParts } from './build-request';
import { createHttpSink } from './http-sink';
import { createMeteredSink } from './metered-sink';
import { readBody } from './read-body';
import { createRegionGate } from './refuse-region';
import { pathWithinService } from './service-path';
import type { HttpEdgeOptions } from './types';

/** One request at the edge, before it is known what it asks for. */
export interface EdgeExchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  /** Whether the caller sends its body only once it is asked to (`Expect: 100-continue`). */
  readonly expectsContinue: boolean;
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

/** The ticket that came with a request; a repeated header gives a text that no ticket has. */
function ticketOf({ headers }: IncomingMessage): string | undefined {
  const value = headers[TICKET_HEADER];
  return Array.isArray(value) ? value.join(',') : value;
}

function isRefusedWithoutTicket(
  incoming: IncomingMessage,
  { service, path }: ServedParts,
): boolean {
  const isWithout = ticketOf(incoming) === undefined;
  return isWithout && isNonRepeatable(service, incoming.method ?? 'GET', path);
}

/** The handlers of the callers' listener. */
export function createHandlers(options: HttpEdgeOptions) {
  const { clock, serving, serveNonRepeatable, tickets, metrics, membership, limits } = options;
  const { configuration: store, region } = options;

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

  const gate = createRegionGate({ region, membership, nowUnixMs: () => clock.unixMs() });

  /** Serves a request that was read, under its ticket where it has or needs one. */
  const answer = async (
    request: GatewayRequest,
    { incoming, response, signal }: EdgeExchange,
  ): Promise<void> => {
    const { service, method, path } = request;
    const sink = createMeteredSink(createHttpSink(response, request.requestId), {
      clock,
      metrics,
      service: service.name,
      startedAtMs: clock.monotonicMs(),
    });
    const ticket = ticketOf(incoming);
    const isUnderTicket =
      service.kind === 'plain' && (ticket !== undefined || isNonRepeatable(service, method, path));
    try {
      if (isUnderTicket) await serveNonRepeatable(request, ticket, sink, signal);
      else await serving.serve(request, sink, signal);
    } catch (error) {
      throw gate.nameEntries(error, request);
    }
  };

  const pass = (exchange: EdgeExchange, parts: ServedParts): Promise<void> => {
    const { incoming, requestId } = exchange;
    return answer(buildRequest({ incoming, requestId, ...parts }, clock), exchange);
  };

  const serveModel: EdgeHandler = async (exchange) => {
    const { incoming } = exchange;
    const { caller, configuration } = identify(incoming);
    gate.requireAnyModel(caller, configuration);
    options.callerLimits.requireWithinLimit(caller, exchange.requestId);
    const body = await readBody(exchange, limits.bodyBytes);
    const model = modelOf(body);
    const service = configuration.serviceOfModel(model);
    if (service === undefined) {
      throw neverSent(
        REFUSALS.unknownService,
        `No service has the model "${model}".`,
        'find-service',
      );
    }
    gate.requireService(caller, service);
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
    gate.requireService(caller, service);
    options.callerLimits.requireWithinLimit(caller, exchange.requestId);
    const path = pathWithinService(incoming.url ?? '/', service);
    const withoutBody = { caller, service, path, body: new Uint8Array(), configuration };
    if (exchange.expectsContinue && isRefusedWithoutTicket(incoming, withoutBody)) {
      // The caller waits to be asked for the body; it need not send one that is refused anyway.
      await pass(exchange, withoutBody);
      return;
    }
    const body = await readBody(exchange, limits.bodyBytes);
    await pass(exchange, { ...withoutBody, body });
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

  /** A ticket for the service asked about, when the caller is sent to this very instance. */
  const ticketForEntry = ({ caller, configuration }: KnownCaller, incoming: IncomingMessage) => {
    const name = new URL(incoming.url ?? '/', 'http://entry').searchParams.get('service');
    const service = name === null ? undefined : configuration.serviceNamed(name);
    if (service?.kind !== 'plain' || !allowedRegions(caller, service).includes(region)) return {};
    const minted = tickets.mint(
      { callerId: caller.id, service: service.name },
      service.ticketValidMs,
    );
    if (minted === undefined) return {};
    return { ticket: minted.ticket, ticketExpiresAtUnixMs: minted.expiresAtUnixMs };
  };

  /** Any instance answers, one on its way out or in a barred region included: it knows the others. */
  const nameEntry: EdgeHandler = async ({ incoming, response, requestId }) => {
    const known = identify(incoming);
    const { caller } = known;
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
    const isSelf = choice.entry.instanceId === membership.self().instanceId;
    const ticket = isSelf ? ticketForEntry(known, incoming) : {};
    const scatter = hashPair('ask-again', requestId);
    answerJson(response, 200, { ...toEntryAnswer(choice, clock.unixMs(), scatter), ...ticket });
  };

  const health: EdgeHandler = async ({ response }) => answerJson(response, 200, { status: 'ok' });

  const readiness: EdgeHandler = async ({ response }) => {
    const isReady = store.current() !== undefined && membership.self().status === 'alive';
    answerJson(response, isReady ? 200 : 503, { ready: isReady });
  };

  return { serveModel, servePlain, listModels, nameEntry, health, readiness };
}
