import type { Clock } from '../clock';
import type { Logger } from '../events';
import { destinationName } from './attempt';
import type { Attempt } from './attempt';
import { PASS_THROUGH_EVENTS } from './events';
import { answerByMs, requestFields } from './forwarding';
import type { SendableDestination } from './observe-destination';
import type { StreamProgress } from './stream-progress';
import type { InboundRequest, Refusal, RefusalReason, RequestPlan } from './types';

/** The log lines of one request: one for each decision, and one for its end. */
export interface RequestLog {
  placed(to: SendableDestination): void;
  attemptFailed(attempt: Attempt, reason: string, status?: number): void;
  /** `firstByteAtMs` is undefined where the answer had no body. */
  answered(attempt: Attempt, status: number, firstByteAtMs: number | undefined): void;
  /** `predictedMs` is what was expected of the best server; undefined where none could take the request. */
  refused(refusal: Refusal, predictedMs: number | undefined): void;
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

/** What a choice of a destination rested on. */
function basisOf(to: SendableDestination, request: InboundRequest) {
  if (to.kind === 'peer') return { toRegion: to.peer.region };
  return {
    predictedMs: Math.round(to.predictedMs),
    tokens: Math.round(to.tokens),
    promptTokens: request.demand?.promptTokens,
    pendingTokens: Math.round(to.pendingTokens),
    load: Math.round(to.load),
    copyFrom: to.copyFrom?.serverId,
  };
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
        ...basisOf(to, request),
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
    refused: (refusal, predictedMs) =>
      logger.event(PASS_THROUGH_EVENTS.refused, {
        ...fields(),
        ...refusal,
        predictedMs: predictedMs === undefined ? undefined : Math.round(predictedMs),
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
