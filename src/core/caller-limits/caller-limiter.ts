import type { RandomSource } from '../random';
import {
  announcementTtlMs,
  demandToAnnounce,
  exactDemandThreshold,
  hasFallen,
} from './announcement';
import type { Announcement } from './announcement';
import { NO_DEMAND, addDemand, demandAt } from './demand-rate';
import type { DemandRate } from './demand-rate';
import { grantedPerSecond } from './grant';
import type { OthersDemand } from './others-demand';
import { fullBucket, takeToken } from './token-bucket';
import type { TokenBucket } from './token-bucket';
import type { AccountLimit, LimitDecision } from './types';

/**
 * Enforces the account limit of a caller over all instances without a shared store.
 *
 * The full limit at each instance would give a caller that uses them all 8 times its limit today and 340 times in
 * the target fleet, at the cost of all other callers. A fixed share at each would refuse callers that send all
 * their requests to a single entry instance, as callers are instructed to do.
 *
 * Every instance grants what remains after the demand of the others. The sum may exceed the limit:
 * - While messages flow: by what is admitted until the first of them arrives, at most a burst at each instance.
 * - While regions are partitioned: each partition that a caller reaches grants the whole limit, so two partitions
 *   grant it twice and three grant it three times. Announcements from before the partition stay valid for 15 s
 *   more.
 */
export interface CallerLimiter {
  decide(callerId: string, limit: AccountLimit, nowMs: number): LimiterResult;
  /**
   * Returns the announcements to send for callers whose demand here has fallen. Call it every second: a caller that
   * moved to another entry instance sends no requests here any more that could trigger an announcement.
   */
  takeFallenDemand(nowMs: number): readonly CallerAnnouncement[];
  /** Returns the number of callers with state on this instance. */
  callers(): number;
}

/** A decision, and the announcement of the caller's demand to send to the other instances, if any. */
export interface LimiterResult {
  readonly decision: LimitDecision;
  readonly announcement: Announcement | undefined;
}

/** An announcement, and the caller that it is about. */
export interface CallerAnnouncement {
  readonly callerId: string;
  readonly announcement: Announcement;
}

/** Options of a caller limiter. */
export interface CallerLimiterOptions {
  readonly random: RandomSource;
  readonly others: OthersDemand;
  /** Returns the number of instances that may send announcements, including this one. */
  readonly instances: () => number;
}

interface CallerState {
  readonly demand: DemandRate;
  readonly bucket: TokenBucket;
  readonly lastAnnouncement: Announcement;
}

const NO_ANNOUNCEMENT: Announcement = { perSecond: 0, atMs: -Infinity, isSampled: true };
/**
 * Time without requests after which the state of a caller is dropped: its bucket is full and its announcements have
 * expired, ms.
 */
const IDLE_TTL_MS = 60_000;
/**
 * Maximum number of idle callers to evict per request. It exceeds the one caller that a request can add, so the
 * state cannot grow for long.
 */
const MAX_EVICTIONS_PER_REQUEST = 2;

/** Returns whether the last announcement is non-zero and still valid at the other instances. */
function hasValidAnnouncement({ lastAnnouncement: last }: CallerState, nowMs: number): boolean {
  return last.perSecond > 0 && nowMs - last.atMs < announcementTtlMs(last);
}

/** Creates a limiter that tracks the demand, token bucket and last announcement of each caller. */
export function createCallerLimiter(options: CallerLimiterOptions): CallerLimiter {
  const { random, others, instances } = options;
  // Ordered by last request: each request moves its caller to the end.
  const states = new Map<string, CallerState>();

  // Callers with an announcement that may still be valid at other instances.
  const announcedCallers = new Set<string>();

  const evictIdle = (nowMs: number): void => {
    let evictedCount = 0;
    for (const [callerId, { demand }] of states) {
      if (evictedCount >= MAX_EVICTIONS_PER_REQUEST || nowMs - demand.atMs < IDLE_TTL_MS) return;
      states.delete(callerId);
      evictedCount += 1;
    }
  };

  const nextAnnouncement = (
    state: CallerState,
    limit: AccountLimit,
    nowMs: number,
  ): Announcement | undefined => {
    const thresholdPerSecond = exactDemandThreshold(limit, instances());
    return demandToAnnounce(
      demandAt(state.demand, nowMs),
      thresholdPerSecond,
      state.lastAnnouncement,
      nowMs,
      random,
    );
  };

  return {
    decide(callerId, limit, nowMs) {
      const known = states.get(callerId) ?? {
        demand: NO_DEMAND,
        bucket: fullBucket(limit, nowMs),
        lastAnnouncement: NO_ANNOUNCEMENT,
      };
      const demand = addDemand(known.demand, nowMs);
      const grant = grantedPerSecond(limit, demand.perSecond, others.demandOf(callerId, nowMs));
      const { bucket, decision } = takeToken(known.bucket, limit, grant, nowMs);
      const announcement = nextAnnouncement({ ...known, demand }, limit, nowMs);
      states.delete(callerId);
      states.set(callerId, {
        demand,
        bucket,
        lastAnnouncement: announcement ?? known.lastAnnouncement,
      });
      evictIdle(nowMs);
      const shouldSend = announcement?.perSecond !== 0 || hasValidAnnouncement(known, nowMs);
      if (announcement !== undefined && shouldSend) announcedCallers.add(callerId);
      return { decision, announcement: shouldSend ? announcement : undefined };
    },
    takeFallenDemand(nowMs) {
      const fallen: CallerAnnouncement[] = [];
      for (const callerId of [...announcedCallers]) {
        const state = states.get(callerId);
        if (state === undefined || !hasValidAnnouncement(state, nowMs)) {
          announcedCallers.delete(callerId);
          continue;
        }
        const perSecond = demandAt(state.demand, nowMs);
        if (!hasFallen(perSecond, state.lastAnnouncement, nowMs)) continue;
        const announcement = { perSecond, atMs: nowMs, isSampled: false };
        states.set(callerId, { ...state, lastAnnouncement: announcement });
        fallen.push({ callerId, announcement });
      }
      return fallen;
    },
    callers: () => states.size,
  };
}
