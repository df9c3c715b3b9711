import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { EndlessBytes, LossCause } from '../outcomes';
import { destinationName } from './attempt';
import type { Attempt } from './attempt-types';
import { PASS_THROUGH_EVENTS } from './events';
import { answerDeadlineMs, requestFields } from './forwarding';
import type { RefusalBasis, RefusalGrounds, RoomAtRefusal } from './create-refuser';
import type { SendableDestination } from './destinations';
import { largestPart } from './largest-part';
import type { LocalChoice } from './local-choice';
import type { StreamProgress } from './stream-progress';
import type { InboundRequest, Refusal, RefusalReason, RequestPlan } from './types';

/** Writes the log lines of one request: one for each decision, and one for its end. */
export interface RequestLog {
  /** Logs where the request is sent; `beside` is the number of attempts that are in progress already. */
  placed(to: SendableDestination, beside: number): void;
  attemptFailed(attempt: Attempt, reason: string, details?: FailureDetails): void;
  /** Logs what a server sent without end, in addition to the failed attempt. */
  endless(attempt: Attempt, found: EndlessBytes): void;
  /** Logs that an attempt was ended because another one had something for the caller. */
  attemptDiscarded(attempt: Attempt, cause: LossCause): void;
  /** Logs that another instance refused the request, for the reason that it states. */
  peerRefused(attempt: Attempt, refusalReason: string | undefined): void;
  /** Logs that a server has not run the request; `pauseMs` is the pause that it asks for, ms. */
  rejected(attempt: Attempt, status: number, pauseMs: number | undefined): void;
  /** Logs a complete answer; `firstByteAtMs` is undefined if the answer had no body. */
  answered(attempt: Attempt, status: number, firstByteAtMs: number | undefined): void;
  /** Logs a refusal; `grounds` are undefined if the choice of a destination was not the reason. */
  refused(refusal: Refusal, grounds: RefusalGrounds | undefined): void;
  brokenOff(reason: RefusalReason): void;
  callerGone(): void;
}

/** What else is known of an attempt that failed. */
export interface FailureDetails {
  readonly status?: number;
  readonly cause?: LossCause;
}

/** Options of `createRequestLog`. */
export interface RequestLogOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
  readonly progress: StreamProgress;
  /** Returns the number of servers that the request has been sent to so far. */
  readonly attempts: () => number;
  /** Returns the time since a server's last byte to any request, ms; 0 if none waits for its first byte. */
  readonly serverSilentMs: (incarnationId: string) => number;
}

/** Returns the prediction for a server and its inputs as log fields. */
function predictionFields({
  predictedMs,
  tokens,
  pendingTokens,
  load,
  copyFrom,
  speedFactor,
}: LocalChoice) {
  return {
    predictedMs: Math.round(predictedMs),
    tokens: Math.round(tokens),
    pendingTokens: Math.round(pendingTokens),
    load: Math.round(load),
    copyFrom: copyFrom?.serverId,
    speedFactor: Math.round(speedFactor * 100) / 100,
  };
}

/** Returns what a prediction consists of as log fields, in ms; `correctionMs` is what its correction adds. */
function partFields({ parts, predictedMs, rawPredictedMs }: LocalChoice) {
  return {
    slotWaitMs: Math.round(parts.slotWaitMs),
    batchMs: Math.round(parts.batchMs),
    otherPromptsMs: Math.round(parts.otherPromptsMs),
    ownPromptMs: Math.round(parts.ownPromptMs),
    copyMs: Math.round(parts.copyMs),
    slownessMs: Math.round(parts.slownessMs),
    latenessMs: Math.round(parts.latenessMs),
    correctionMs: Math.round(predictedMs - rawPredictedMs),
  };
}

/** Returns the room at the time of a refusal as log fields. */
function roomFields(room: RoomAtRefusal | undefined) {
  if (room === undefined) return {};
  const { absence, idleServers, freeSlotsElsewhere } = room;
  return { absence, idleServers, freeSlotsElsewhere };
}

/** Returns the server that is the reason for a refusal as log fields. */
function basisFields(basis: RefusalBasis | undefined) {
  switch (basis?.kind) {
    case undefined:
      return {};
    case 'tooSlow':
      return {
        ...predictionFields(basis.best),
        bestServer: basis.best.server.incarnationId,
        waitMs: Math.round(basis.waitMs),
        maxWaitMs: Math.round(basis.maxWaitMs),
        exceeded: basis.exceeded,
        largestPart: largestPart(basis.best),
        slots: basis.best.server.slots,
        ...partFields(basis.best),
      };
    case 'restricted':
      return basis.server.kind === 'limited'
        ? { limitedServer: basis.server.incarnationId }
        : { pausedServer: basis.server.incarnationId };
    case 'overShare':
      return { admittedShare: Number(basis.admittedShare.toFixed(3)) };
    default:
      return basis satisfies never;
  }
}

/** Maximum length of a value of a caller in a log line, characters. */
const MAX_LOGGED_CHARACTERS = 64;

/** Returns what a request takes up as log fields. */
function resumptionFields(request: InboundRequest, progress: StreamProgress) {
  return {
    lastEventId: progress.lastEventId?.slice(0, MAX_LOGGED_CHARACTERS),
    resumedRequestId: request.resumedRequestId?.slice(0, MAX_LOGGED_CHARACTERS),
  };
}

/** Returns the basis of the choice of a destination as log fields. */
function placementFields(to: SendableDestination) {
  return to.kind === 'peer'
    ? { toRegion: to.peer.region, toRegionRoom: to.room, isDetour: to.isDetour }
    : { ...predictionFields(to), softwareVersion: to.server.softwareVersion };
}

/** Creates the log of one request. */
export function createRequestLog(options: RequestLogOptions): RequestLog {
  const { clock, logger, request, plan, progress } = options;
  const fields = () => ({ ...requestFields(request, plan), attempts: options.attempts() });
  const sinceReceivedMs = (atMs: number) => Math.round(atMs - request.receivedAtMs);
  const totalMs = () => sinceReceivedMs(clock.monotonicMs());
  const silentMsOf = (to: SendableDestination) =>
    to.kind === 'server' ? Math.round(options.serverSilentMs(to.server.incarnationId)) : undefined;
  const attemptFields = (attempt: Attempt) => ({
    ...fields(),
    to: destinationName(attempt.to),
    serversTriedThere: attempt.serversTriedThere(),
    afterMs: Math.round(clock.monotonicMs() - attempt.sentAtMs),
    silentMs: Math.round(clock.monotonicMs() - attempt.lastByteAtMs()),
    serverSilentMs: silentMsOf(attempt.to),
  });

  return {
    placed: (to, beside) =>
      logger.event(PASS_THROUGH_EVENTS.placed, {
        ...fields(),
        ...placementFields(to),
        ...resumptionFields(request, progress),
        streamVersion: progress.softwareVersion ?? plan.streamVersion,
        promptTokens: request.demand?.promptTokens,
        mostAttempts: plan.maxAttempts,
        isForwarded: plan.isForwarded,
        beside,
        sinceReceivedMs: totalMs(),
        to: destinationName(to),
        timeLeftMs: Math.round(answerDeadlineMs(plan) - clock.monotonicMs()),
      }),
    attemptFailed: (attempt, reason, details) =>
      logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
        ...attemptFields(attempt),
        reason,
        ...details,
      }),
    endless: (attempt, { shape, bytes }) =>
      logger.event(PASS_THROUGH_EVENTS.endlessAnswer, { ...attemptFields(attempt), shape, bytes }),
    attemptDiscarded: (attempt, cause) =>
      logger.event(PASS_THROUGH_EVENTS.attemptDiscarded, { ...attemptFields(attempt), cause }),
    peerRefused: (attempt, refusalReason) =>
      logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
        ...attemptFields(attempt),
        reason: 'the other instance refused the request',
        refusalReason,
      }),
    rejected: (attempt, status, pauseMs) =>
      logger.event(PASS_THROUGH_EVENTS.attemptFailed, {
        ...attemptFields(attempt),
        reason: 'the server states that it has not run the request',
        status,
        pauseMs,
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
    refused: (refusal, grounds) =>
      logger.event(PASS_THROUGH_EVENTS.refused, {
        ...fields(),
        ...refusal,
        ...basisFields(grounds?.basis),
        ...roomFields(grounds?.room),
        ...resumptionFields(request, progress),
        streamVersion: plan.streamVersion,
        priority: plan.priority,
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
