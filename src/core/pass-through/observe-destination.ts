import type { Clock } from '../clock';
import { ownTokens } from '../placement';
import type { LoadReport, SpillResult, TrialResult } from '../placement';
import type { Router } from './create-router';
import type { SendableDestination } from './destinations';
import { ownTimeKey, requestClassKey } from './forwarding';
import type { InboundRequest, RequestPlan } from './types';

/** End of an attempt, classified by what it shows about the destination. */
export type ObservedEnd =
  | 'answered'
  /** The destination failed. */
  | 'failed'
  /** The destination did not accept the request. */
  | 'refused'
  /** Shows nothing about the destination, for example when the caller leaves. */
  | 'inconclusive';

/** Updates the router's records of a destination with the progress of one attempt. */
export interface DestinationObserver {
  recordLoad(report: LoadReport): void;
  /** Records that a server has refused the request, or has taken it. */
  recordTaken(wasTaken: boolean): void;
  recordFirstByte(): void;
  recordData(): void;
  /** Records that something has arrived that the caller can use. */
  recordProgress(): void;
  /** Records that the head of the answer is that of a failure, which counts before its body has ended. */
  recordFailing(): void;
  /** Records that the answer has no end, before its end is recorded. */
  recordEndless(): void;
  recordEnd(end: ObservedEnd): void;
  /**
   * Whether the destination has unfinished requests and has sent nothing for any of them for a long
   * time.
   */
  isSilent(): boolean;
}

/** Options of `observeDestination`. */
export interface ObserverOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly router: Router;
  readonly request: InboundRequest;
  readonly plan: RequestPlan;
}

/**
 * Silence, ms, after which a server with unfinished requests counts as failed when a request to it
 * times out.
 */
const SERVER_SILENCE_TIMEOUT_MS = 1_200;

function trialResultOf(end: ObservedEnd, isFailing: boolean): TrialResult {
  if (isFailing || end === 'failed') return 'failed';
  return end === 'answered' ? 'whole' : 'inconclusive';
}

function observeServer(
  { clock, router, plan, request }: ObserverOptions,
  to: SendableDestination & { kind: 'server' },
): DestinationObserver {
  const { server, tokens, predictedMs, usualMs, rawPredictedMs } = to;
  const { incarnationId } = server;
  const { loads, refusals, suspicions, speeds, serverSpeeds, correction, usualTimes } = router;
  const promptTokens = request.demand?.promptTokens ?? 0;
  const sentAtMs = clock.monotonicMs();
  const kind = requestClassKey(plan);
  const ownKey = ownTimeKey(request, plan);
  const factorNow = () => serverSpeeds?.factor(incarnationId, clock.monotonicMs()) ?? 1;
  /** Mean of the server's factor when the request was sent and now; the work was done in between. */
  const meanFactor = () => (to.speedFactor + factorNow()) / 2;
  let hadFirstByte = false;
  let isEndRecorded = false;
  let isFailing = false;
  const keptTokens = request.demand === undefined ? undefined : ownTokens(request.demand);
  loads.recordSent(incarnationId, tokens, sentAtMs, keptTokens);
  const trial = suspicions.begin(incarnationId);
  return {
    recordLoad(report) {
      const nowMs = clock.monotonicMs();
      loads.recordReport(incarnationId, report, nowMs);
      if (report.slowdown === undefined) return;
      serverSpeeds?.recordStatedSlowdown(incarnationId, report.slowdown, nowMs);
    },
    recordTaken(wasTaken) {
      const nowMs = clock.monotonicMs();
      if (wasTaken) refusals.recordAcceptance(incarnationId, promptTokens, nowMs);
      else refusals.recordRefusal(incarnationId, promptTokens, nowMs);
    },
    recordFirstByte() {
      if (hadFirstByte) return;
      hadFirstByte = true;
      const nowMs = clock.monotonicMs();
      const actualMs = nowMs - sentAtMs;
      if (request.demand !== undefined) router.recordPrompt(incarnationId, request.demand);
      // The time that the request hung is none of the server's.
      if (router.wereLinksCutSince(sentAtMs)) {
        loads.recordFirstByte(incarnationId, { tokens, predictedMs: actualMs, actualMs }, nowMs);
        return;
      }
      // On a busy server, the wait for a place in the batch would be counted as prefill time.
      const hasSpareSlots = loads.load(incarnationId, nowMs) < server.slots / 2;
      // The speed of the service and the correction are those of a server of usual speed, so the slowness of one server
      // is taken out of what they learn. Otherwise it would count twice at this server, and once at all others.
      const factor = meanFactor();
      const extraFactor = factor - to.speedFactor;
      if (hasSpareSlots) speeds.recordPrefill(plan.service, tokens, actualMs / factor);
      const ownMs = ownKey === undefined ? 0 : usualTimes.usualMs(ownKey);
      if (hasSpareSlots && ownKey !== undefined) {
        usualTimes.record(ownKey, actualMs / factor - usualMs, nowMs);
      }
      if (ownMs === undefined) {
        // What the request takes by nature is not known yet, so that its time shows no lateness.
        loads.recordFirstByte(incarnationId, { tokens, predictedMs: actualMs, actualMs }, nowMs);
        return;
      }
      const waitedMs = Math.max(0, actualMs - ownMs * factor);
      const correctedUsualMs = correction.correct(kind, usualMs);
      serverSpeeds?.recordFirstByte(
        incarnationId,
        { predictedMs: correctedUsualMs + ownMs, actualMs },
        nowMs,
      );
      correction.record(kind, rawPredictedMs + usualMs * extraFactor, waitedMs);
      // A slowdown that began after the request was sent is not recorded as lateness: it ends within a second, while
      // recorded lateness affects choices for longer.
      const expectedMs = predictedMs + correctedUsualMs * Math.max(0, extraFactor);
      const timing = { tokens, predictedMs: expectedMs, actualMs: waitedMs };
      loads.recordFirstByte(incarnationId, timing, nowMs);
    },
    recordData() {
      loads.recordReceived(incarnationId, clock.monotonicMs());
    },
    recordProgress() {
      loads.recordProgress(incarnationId, clock.monotonicMs());
    },
    recordFailing() {
      isFailing = true;
      loads.recordFailure(incarnationId, clock.monotonicMs());
    },
    recordEndless: () => suspicions.recordMisbehaved(incarnationId, clock.monotonicMs()),
    recordEnd(end) {
      if (isEndRecorded) return;
      isEndRecorded = true;
      const nowMs = clock.monotonicMs();
      trial.end(trialResultOf(end, isFailing), nowMs);
      // An answer may have no body.
      if (end === 'answered') loads.recordProgress(incarnationId, nowMs);
      const isInconclusive = end === 'inconclusive' || end === 'refused' || isFailing;
      const isFailure = isInconclusive ? undefined : end === 'failed';
      loads.recordEnd(incarnationId, { hadFirstByte, tokens, keptTokens, isFailure }, nowMs);
      if (end === 'answered' && !router.wereLinksCutSince(sentAtMs)) {
        speeds.recordSlotTime(plan.service, (nowMs - sentAtMs) / meanFactor());
      }
    },
    isSilent: () => loads.silentMs(incarnationId, clock.monotonicMs()) >= SERVER_SILENCE_TIMEOUT_MS,
  };
}

function observePeer(
  { clock, router, plan }: ObserverOptions,
  to: SendableDestination & { kind: 'peer' },
): DestinationObserver {
  const { spillWindows } = router;
  const { region } = to.peer;
  const sentAtMs = clock.monotonicMs();
  let isWaiting = true;
  spillWindows.begin(plan.service, region);
  const endSpill = (seen: SpillResult): void => {
    if (!isWaiting) return;
    isWaiting = false;
    spillWindows.end(plan.service, region, seen, clock.monotonicMs());
  };
  const recordFirstByte = (): void => {
    const objectiveShare = (clock.monotonicMs() - sentAtMs) / plan.objectiveMs;
    endSpill({ kind: 'firstByte', objectiveShare });
  };
  return {
    recordLoad() {},
    recordTaken() {},
    recordFirstByte,
    recordData() {},
    recordProgress() {},
    recordFailing() {},
    recordEndless() {},
    recordEnd(observed) {
      switch (observed) {
        case 'answered':
          recordFirstByte();
          return;
        case 'inconclusive':
          endSpill({ kind: 'nothing' });
          return;
        case 'refused':
        case 'failed':
          endSpill({ kind: 'refused' });
          return;
        default:
          observed satisfies never;
      }
    },
    isSilent: () => false,
  };
}

/** Observes nothing: the windows are those of other regions. */
const UNOBSERVED: DestinationObserver = {
  recordLoad() {},
  recordTaken() {},
  recordFirstByte() {},
  recordData() {},
  recordProgress() {},
  recordFailing() {},
  recordEndless() {},
  recordEnd() {},
  isSilent: () => false,
};

/** Starts to observe an attempt that is about to be sent. */
export function observeDestination(
  options: ObserverOptions,
  to: SendableDestination,
): DestinationObserver {
  switch (to.kind) {
    case 'server':
      return observeServer(options, to);
    case 'peer':
      return to.isDetour === true ? UNOBSERVED : observePeer(options, to);
    default:
      return to satisfies never;
  }
}
