import { createRetryAfterSchedule } from '../placement';
import type { RefusedRequest } from '../placement';
import { answerDeadlineMs } from './forwarding';
import { waitMsOf } from './local-choice';
import type { ExceededBound } from './local-admission';
import type { LocalChoice, RestrictedServer } from './local-choice';
import type { ServerAbsence } from './server-absence';
import type { RequestPlan } from './types';

/** Why a request is refused. */
export type RefusalBasis =
  /** The best server of this region; its first byte would come too late, or the wait before it is too long. */
  | {
      readonly kind: 'tooSlow';
      readonly best: LocalChoice;
      /** Predicted time to the first byte without the computation of the request's own prompt, ms. */
      readonly waitMs: number;
      /** Maximum wait of the request by its priority, ms. */
      readonly maxWaitMs: number;
      readonly exceeded: ExceededBound;
    }
  /** No server may be asked now; `server` is the one that may be asked again first. */
  | { readonly kind: 'restricted'; readonly server: RestrictedServer }
  /**
   * The service is scarce and the account over its share. `admittedShare` is the share of its demand that is admitted; it
   * may be 1 if the request is refused because of its wait.
   */
  | { readonly kind: 'overShare'; readonly admittedShare: number };

/** A request that gets no destination. */
export interface RefusedPlacement {
  readonly kind: 'none';
  readonly reason:
    | 'noServer'
    | 'overloaded'
    | 'serversLimited'
    | 'serversPaused'
    | 'serversUnreachable'
    | 'streamVersionGone';
  /** Delay after which its caller may retry, ms; undefined if that would be too late to be served before its deadline. */
  readonly retryAfterMs: number | undefined;
  /** Undefined if there is no server for the request. */
  readonly basis: RefusalBasis | undefined;
  readonly room: RoomAtRefusal;
}

/** What a refusal rests on. */
export type RefusalGrounds = Pick<RefusedPlacement, 'basis' | 'room'>;

/** Room for a request when it was refused, as far as this instance knows. */
export interface RoomAtRefusal {
  /** Why no server of this region was weighed; undefined if one was. */
  readonly absence: ServerAbsence | undefined;
  /** Number of servers of the service in this region with a free slot and no prompt that waits. */
  readonly idleServers: number;
  /** Free slots for the service in other regions that may serve the request. */
  readonly freeSlotsElsewhere: number;
}

/** A refusal before the room at that moment is added. */
export type Refused = Omit<RefusedPlacement, 'room'>;

/** Refuses requests, each with a time to retry. */
export interface Refuser {
  /** Refuses a request whose best server would take too long. */
  refuseTooSlow(
    plan: RequestPlan,
    best: LocalChoice,
    maxWaitMs: number,
    exceeded: ExceededBound,
    nowMs: number,
  ): Refused;
  /** Refuses a request of an account that is over its share. */
  refuseOverShare(plan: RequestPlan, admittedShare: number, nowMs: number): Refused;
  /** Refuses a request because of what the servers of this region have stated. */
  refuseRestricted(plan: RequestPlan, server: RestrictedServer, nowMs: number): Refused;
  /** Refuses a request for which this region has no server. */
  refuseWithoutServer(plan: RequestPlan, hasServersElsewhere: boolean, nowMs: number): Refused;
  /** Refuses a request because this instance reaches no server, and knows no other instance that may. */
  refuseUnreachable(plan: RequestPlan, nowMs: number): Refused;
  /** Records that a request is sent to a server; retries are scheduled at the rate of these requests. */
  recordAdmitted(plan: RequestPlan, nowMs: number): void;
}

/** Retry delay if no server is known: servers announce themselves about every second. */
const NO_SERVER_RETRY_MS = 1_000;
/**
 * Minimum retry delay: a shorter one only repeats the refusal, since slots become free only every
 * few tens of ms.
 */
const MIN_RETRY_MS = 200;
/**
 * Maximum retry delay: callers have a few seconds in all, and accept a delay of up to a third of that.
 */
const MAX_RETRY_MS = 2_000;
/** Minimum time to serve a retried request, ms: a round trip to a server and a short answer. */
const MIN_SERVING_MS = 100;

/** Returns what a retry schedule needs to know of a refused request. */
function toRefusedRequest(plan: RequestPlan, minDelayMs: number): RefusedRequest {
  return {
    service: plan.service,
    priority: plan.priority,
    minDelayMs,
    latestRetryAtMs: answerDeadlineMs(plan) - Math.min(MIN_SERVING_MS, plan.objectiveMs),
  };
}

/** Creates a refuser with empty retry schedules. */
export function createRefuser(): Refuser {
  const schedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const pauseSchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  /**
   * Callers of accounts over their share have a schedule of their own: in that of all others, the many refusals of one
   * account would delay the callers of the accounts within their share.
   */
  const shareSchedule = createRetryAfterSchedule(MAX_RETRY_MS);

  const refuse = (
    reason: RefusedPlacement['reason'],
    plan: RequestPlan,
    minDelayMs: number,
    nowMs: number,
    basis?: RefusalBasis,
  ): Refused => {
    // The instance that forwarded the request answers its caller. A place in the retry schedule
    // here would delay the callers of this region.
    const retryAfterMs = plan.isForwarded
      ? minDelayMs
      : schedule.nextRetryAfterMs(toRefusedRequest(plan, minDelayMs), nowMs);
    return { kind: 'none', reason, retryAfterMs, basis };
  };

  return {
    refuseTooSlow(plan, best, maxWaitMs, exceeded, nowMs) {
      const waitMs = waitMsOf(best);
      const excessMs = Math.max(best.predictedMs - plan.objectiveMs, waitMs - maxWaitMs);
      const basis: RefusalBasis = { kind: 'tooSlow', best, waitMs, maxWaitMs, exceeded };
      return refuse('overloaded', plan, Math.max(MIN_RETRY_MS, excessMs), nowMs, basis);
    },
    refuseOverShare: (plan, admittedShare, nowMs) => ({
      kind: 'none',
      reason: 'overloaded',
      retryAfterMs: shareSchedule.nextRetryAfterMs(toRefusedRequest(plan, MIN_RETRY_MS), nowMs),
      basis: { kind: 'overShare', admittedShare },
    }),
    refuseRestricted(plan, server, nowMs) {
      const minDelayMs = Math.max(MIN_RETRY_MS, server.waitMs);
      const basis: RefusalBasis = { kind: 'restricted', server };
      switch (server.kind) {
        case 'limited':
          return refuse('serversLimited', plan, minDelayMs, nowMs, basis);
        case 'paused': {
          // No caller is told to return before the end of the pause, however long that is. One that gives up before is told
          // as well: the time says how long the servers ask for, and takes no place of another caller.
          const spreadMs = plan.isForwarded
            ? 0
            : pauseSchedule.nextRetryAfterMs(toRefusedRequest(plan, 0), nowMs + minDelayMs);
          const retryAfterMs = minDelayMs + (spreadMs ?? 0);
          return { kind: 'none', reason: 'serversPaused', retryAfterMs, basis };
        }
        default:
          return server.kind satisfies never;
      }
    },
    refuseWithoutServer: (plan, hasServersElsewhere, nowMs) =>
      hasServersElsewhere
        ? refuse('overloaded', plan, MIN_RETRY_MS, nowMs)
        : refuse('noServer', plan, NO_SERVER_RETRY_MS, nowMs),
    refuseUnreachable: (plan, nowMs) =>
      refuse('serversUnreachable', plan, NO_SERVER_RETRY_MS, nowMs),
    recordAdmitted({ service }, nowMs) {
      schedule.recordAdmitted(service, nowMs);
      shareSchedule.recordAdmitted(service, nowMs);
    },
  };
}
