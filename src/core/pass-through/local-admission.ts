import { createSizeAdmission } from '../placement';
import type { UsualTimes } from '../placement';
import { createPriorityAdmission } from '../priority-admission';
import { ownTimeKey, requestClassKey } from './forwarding';
import { waitMsOf } from './local-choice';
import type { LocalChoice } from './local-choice';
import type { InboundRequest, RequestPlan } from './types';

/** Decides which requests the servers of this region take. */
export interface LocalAdmission {
  /**
   * Records the demand of a request if it would have to wait at the best server of this region, or if there is none. Each
   * request counts once, however often it is chosen a destination for.
   */
  recordDemand(
    request: InboundRequest,
    plan: RequestPlan,
    best: LocalChoice | undefined,
    nowMs: number,
  ): void;
  /** Returns the maximum wait of a request that is admitted here, ms. */
  maxWaitMs(plan: RequestPlan, nowMs: number): number;
  /**
   * Returns what keeps a request from being sent to a server, by the predicted time to its first byte and
   * the predicted wait there; undefined if it may be sent. The wait is without the computation of its own prompt, so that
   * the bound by priority refuses no prompt for its size.
   */
  exceededBound(
    choice: LocalChoice,
    request: InboundRequest,
    plan: RequestPlan,
    maxWaitMs: number,
    nowMs: number,
  ): ExceededBound | undefined;
  /**
   * Returns whether a stream that can only go on at some of the servers may be sent to one of them. It is not held to the
   * bounds on waits, since new requests have all servers to go to, and what its caller has is lost without the rest.
   */
  admitsBound(choice: LocalChoice, plan: RequestPlan, nowMs: number): boolean;
}

/** Bound on a prediction: the time until the deadline, the longest wait by priority, or the latency objective. */
export type ExceededBound = 'deadline' | 'wait' | 'objective';

/** Options of `createLocalAdmission`. */
export interface LocalAdmissionOptions {
  /** The region of this instance. */
  readonly region: string;
  /** Whether the waits of less urgent requests are bounded while more urgent ones arrive. */
  readonly byPriority: boolean;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
  readonly usualTimes: Pick<UsualTimes, 'usualMs'>;
}

/**
 * Maximum predicted time to the first byte of an admitted request, as a multiple of its latency
 * objective. Servers that get more than they can finish in time answer all of it late; a request
 * that is refused immediately can be retried, and the others are in time.
 */
const MAX_OBJECTIVE_MULTIPLE = 1;
/** Wait at a server with hardly any other work, as a share of the objective: a few steps of its batch. */
const MAX_IDLE_WAIT_SHARE = 0.1;

/** Minimum wait of a request, as a share of its objective, from which the waits of less urgent ones are bounded. */
const MIN_DEMAND_WAIT_SHARE = 0.25;

/** Creates an admission that has seen no requests yet. */
export function createLocalAdmission(options: LocalAdmissionOptions): LocalAdmission {
  const sizeAdmission = createSizeAdmission(options.draw);
  const priorityAdmission = createPriorityAdmission();
  const recordedRequests = new WeakSet<InboundRequest>();

  /** Returns the time that a request takes by nature, ms; 0 if it never meets its objective, which no refusal changes. */
  const ownMs = (request: InboundRequest, plan: RequestPlan): number => {
    const key = ownTimeKey(request, plan);
    const usualMs = key === undefined ? 0 : (options.usualTimes.usualMs(key) ?? 0);
    return usualMs < plan.objectiveMs ? usualMs : 0;
  };

  return {
    recordDemand(request, plan, best, nowMs) {
      if (recordedRequests.has(request)) return;
      // A request that hardly waits is in time even if less urgent ones are admitted.
      if (best !== undefined && waitMsOf(best) < plan.objectiveMs * MIN_DEMAND_WAIT_SHARE) return;
      recordedRequests.add(request);
      // A request that may not run in this region competes for no server here.
      const mayRunHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(options.region);
      if (mayRunHere) priorityAdmission.recordDemand(plan, nowMs);
    },
    maxWaitMs: (plan, nowMs) =>
      options.byPriority ? priorityAdmission.maxWaitMs(plan, nowMs) : plan.objectiveMs,
    admitsBound: ({ predictedMs }, plan, nowMs) => predictedMs <= plan.deadlineAtMs - nowMs,
    exceededBound(choice, request, plan, maxWaitMs, nowMs) {
      const { predictedMs, ownPrefillMs } = choice;
      const { objectiveMs } = plan;
      const waitMs = waitMsOf(choice);
      if (predictedMs > plan.deadlineAtMs - nowMs) return 'deadline';
      if (waitMs > maxWaitMs) return 'wait';
      const kind = requestClassKey(plan);
      if (predictedMs + ownMs(request, plan) <= objectiveMs * MAX_OBJECTIVE_MULTIPLE) {
        // The admission by size compares late prompts to those in time.
        sizeAdmission.recordInTime(kind, ownPrefillMs);
        return undefined;
      }
      // The server would not be faster later, so that a refusal could not help.
      if (waitMs <= objectiveMs * MAX_IDLE_WAIT_SHARE) return undefined;
      const isAdmitted = sizeAdmission.admits({ kind, predictedMs, ownPrefillMs, objectiveMs });
      return isAdmitted ? undefined : 'objective';
    },
  };
}
