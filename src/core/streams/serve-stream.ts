import type { Clock } from '../clock';
import type { Logger } from '../events';
import { RefusalError } from '../refusals';
import type { GatewayRequest, RequestCosts, ResponseSink } from '../serving/types';
import { continueRequest } from './continue-request';
import { STREAM_EVENTS } from './events';
import { createStreamRelay } from './stream-relay';

/** Serves one leg of an answer. */
export type ServeLeg = (
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** What serving streams needs. */
export interface StreamOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly serveLeg: ServeLeg;
}

/**
 * Maximum number of servers that one answer may use, in all its parts together. If the second one fails as well, the
 * prompt is as likely the cause as they are.
 */
const MAX_SERVERS = 2;

function mayResume({ service }: GatewayRequest): boolean {
  return service.kind === 'model' && service.resumption === 'continueFinalMessage';
}

/**
 * Serves a model's answer and, where its engine fails in the midst of it, has another one go on at the exact
 * place. Without it a caller on the phone loses minutes of an answer to one crash, and asks for all of it again.
 * Answers that can't be continued are left cut short, in a way that no client takes for whole.
 */
export async function serveStream(
  { clock, logger, serveLeg }: StreamOptions,
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<void> {
  const relay = createStreamRelay(sink, mayResume(request));
  const costs: RequestCosts = { triesThatMayHaveRun: 0 };
  let current: GatewayRequest = { ...request, costs };
  for (let leg = 1; ; leg += 1) {
    try {
      await serveLeg(current, relay.startLeg(), signal);
      return;
    } catch (error) {
      if (relay.isCutShort && relay.progress.hasFinished) {
        await relay.finish();
        return;
      }
      const next = relay.isCutShort ? continueRequest(request, relay.progress) : undefined;
      const hasTime = clock.monotonicMs() < request.deadlineAtMs;
      const serversUsed = Math.max(leg, costs.triesThatMayHaveRun);
      const goesOn = next !== undefined && serversUsed < MAX_SERVERS && hasTime && !signal.aborted;
      if (!goesOn || !mayResume(request) || !(error instanceof RefusalError)) throw error;
      logger.event(STREAM_EVENTS.resumed, {
        requestId: request.requestId,
        failedAt: error.peer,
        textEvents: relay.progress.textEvents,
        reason: error.message,
      });
      const avoid = [...(current.avoid ?? []), ...(error.peer === undefined ? [] : [error.peer])];
      // Far from the numbers of tries within a leg, so that no two attempts share one.
      const attempt = request.attempt + leg * 100;
      current = { ...next, costs, attempt, avoid };
    }
  }
}
