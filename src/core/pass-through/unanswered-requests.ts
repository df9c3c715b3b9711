import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import { PASS_THROUGH_EVENTS } from './events';

/**
 * How a request that was read whole ended without a complete answer or a refusal: this instance closed its connection, its
 * caller left before the answer was due, or its caller left after that.
 */
export type UnansweredCause = 'closedHere' | 'callerLeft' | 'overdue';

/** A request that was read whole. */
export interface ReadRequest {
  readonly requestId: string;
  readonly route: string;
  readonly receivedAtMs: number;
  readonly answerDeadlineMs: number;
}

/** Options of `watchForAnswer`. */
export interface WatchForAnswerOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  readonly onUnanswered: (cause: UnansweredCause) => void;
}

/**
 * Reports if the connection of a request ends before its answer. It looks at the connection alone, so that it also finds
 * requests that no other part of the process knows of any more.
 */
export function watchForAnswer(
  { clock, logger, onUnanswered }: WatchForAnswerOptions,
  { socket }: IncomingMessage,
  response: ServerResponse,
  { requestId, route, receivedAtMs, answerDeadlineMs }: ReadRequest,
): void {
  response.once('close', () => {
    if (response.writableFinished) return;
    const nowMs = clock.monotonicMs();
    const hasCallerLeft = socket.readableEnded || socket.errored !== null;
    const leftAs = nowMs >= answerDeadlineMs ? 'overdue' : 'callerLeft';
    const cause: UnansweredCause = hasCallerLeft ? leftAs : 'closedHere';
    onUnanswered(cause);
    if (cause === 'callerLeft') return;
    logger.event(PASS_THROUGH_EVENTS.unanswered, {
      requestId,
      route,
      cause,
      hadHead: response.headersSent,
      overdueMs: Math.max(0, Math.round(nowMs - answerDeadlineMs)),
      totalMs: Math.round(nowMs - receivedAtMs),
    });
  });
}
