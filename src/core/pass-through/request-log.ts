import type { Clock } from '../clock';
import type { Logger } from '../events';
import { destinationName } from './attempt';
import type { Attempt } from './attempt';
import { PASS_THROUGH_EVENTS } from './events';
import { answerByMs, requestFields } from './forwarding';
import type { LocalChoice } from './local-servers';
import type { SendableDestination } from './observe-destination';
import type { StreamProgress } from './stream-progress';
import type { InboundRequest, Refusal, RefusalReason, RequestPlan } from './types';

/** The log lines of one request: one for each decision, and one for its end. */
export interface RequestLog {
  placed(to: SendableDestination): void;
  attemptFailed(attempt: Attempt, reason: string, status?: number): void;
  /** `firstByteAtMs` is undefined where the answer had no body. */
  answered(attempt: Attempt, status: number, firstByteAtMs: number | undefined): void;
  /** `best` is the server that was judged too slow; undefined where none could take the request. */
  refused(refusal: Refusal, best: LocalChoice | undefined): void;
  brokenOff(reason: RefusalReason): void;
  callerGone(): void;
}

/** What the lines are made from. */
export interface RequestLogOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly progress: StreamProgress;
  /** Servers that the request has been sent to so far. */
  readonly attempts: () => number;
}

/** What was expected of a server, and why. */
function outlookOf({ predictedMs, tokens, pendingTokens, load, copyFrom }: LocalChoice) {
  return {
    predictedMs: Math.round(predictedMs),
    tokens: Math.round(tokens),
    pendingTokens: Math.round(pendingTokens),
    load: Math.round(load),
    copyFrom: copyFrom?.serverId,
  };
}

/** What a choice of a destination rested on. */
function basisOf(to: SendableDestination) {
  return to.kind === 'peer' ? { toRegion: to.peer.region } : outlookOf(to);
}

/** A log for one request. */
export function createRequestLog(options: RequestLogOptions): RequestLog {
  const { clock, logger, request, plan, progress } = options;
  const fields = () => ({ ...requestFields(request, plan), attempts: options.attempts() });
  const sinceReceivedMs = (atMs: number) => Math.round(atMs - request.receivedAtMs);
  const totalMs = () => sinceReceivedMs(clock.monotonicMs());

  return {
    placed: (to) =>
      logger.event(PASS_THROUGH_EVENTS.placed, {
        ...fields(),
        ...basisOf(to),
        promptTokens: request.demand?.promptTokens,
        mostAttempts: plan.maxAttempts,
        sinceReceivedMs: totalMs(),
        to: destinationName(to),
        timeLeftMs: Math.round(answerByMs(plan) - clock.monotonicMs()),
      }),
    attemptFailed: (attempt, reason, status) =>
      logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
        ...fields(),
        to: destinationName(attempt.to),
        serversTriedThere: attempt.serversTriedThere(),
        reason,
        status,
        afterMs: Math.round(clock.monotonicMs() - attempt.sentAtMs),
      }),
    answered: (attempt, status, firstByteAtMs) =>
      logger.event(PASS_THROUGH_EVENTS.answered, {
        ...fields(),
        to: destinationName(attempt.to),
        status,
        events: progress.events,
        longestPauseMs: Math.round(progress.longestPauseMs),
        objectiveMs: plan.objectiveMs,
        pauseObjectiveMs: plan.pauseObjectiveMs,
        firstByteMs: sinceReceivedMs(firstByteAtMs ?? request.receivedAtMs),
        totalMs: totalMs(),
      }),
    refused: (refusal, best) =>
      logger.event(PASS_THROUGH_EVENTS.refused, {
        ...fields(),
        ...refusal,
        ...(best === undefined ? {} : outlookOf(best)),
        bestServer: best?.server.incarnationId,
        objectiveMs: plan.objectiveMs,
        promptTokens: request.demand?.promptTokens,
        totalMs: totalMs(),
      }),
    brokenOff: (reason) =>
      logger.event(PASS_THROUGH_EVENTS.brokenOff, {
        ...fields(),
        reason,
        events: progress.events,
        totalMs: totalMs(),
      }),
    callerGone: () =>
      logger.event(PASS_THROUGH_EVENTS.callerGone, {
        ...fields(),
        events: progress.events,
        totalMs: totalMs(),
      }),
  };
}
