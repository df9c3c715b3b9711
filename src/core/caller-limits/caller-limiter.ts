import type { RandomSource } from '../random';
import { demandToTell, hasFallen, lastsMs, notableDemand } from './announcement';
import type { Announcement } from './announcement';
import { NO_DEMAND, addDemand, demandAt } from './demand-rate';
import type { DemandRate } from './demand-rate';
import { grantedPerSecond } from './grant';
import type { OthersDemand } from './others-demand';
import { fullBucket, takeToken } from './token-bucket';
import type { TokenBucket } from './token-bucket';
import type { AccountLimit, LimitDecision } from './types';

/**
 * Holds a caller's account limit over all instances without a shared store.
 *
 * Answers a caller that sends more than was agreed, through as many instances as it likes. A full limit at each
 * instance would give it 8 times its limit today and 340 times in the target fleet, at the cost of all others;
 * a fixed part of the limit at each would refuse callers that use one entry, as they are told to.
 *
 * Every instance grants what the others leave over. How far the sum may exceed the limit:
 * - While messages flow, by what is admitted until the first of them arrives: at most a burst at each instance.
 * - While regions are cut, each part that a caller reaches grants the whole limit: two parts twice, three three
 *   times. What was said before the cut stands for 15 s more.
 */
export interface CallerLimiter {
  decide(callerId: string, limit: AccountLimit, nowMs: number): LimiterResult;
  /**
   * What the others are to be told of callers whose demand here has fallen; to be asked each second. A caller that
   * moved to another entry sends nothing here any more that could lead to telling it.
   */
  sweep(nowMs: number): readonly CallerAnnouncement[];
  /** Callers with state here. */
  callers(): number;
}

/** A decision, and what the other instances are to be told of the caller's demand, if anything. */
export interface LimiterResult {
  readonly decision: LimitDecision;
  readonly announcement: Announcement | undefined;
}

/** An announcement, and whom it is about. */
export interface CallerAnnouncement {
  readonly callerId: string;
  readonly announcement: Announcement;
}

/** What the limiter needs. */
export interface CallerLimiterNeeds {
  readonly random: RandomSource;
  readonly others: OthersDemand;
  /** Instances that may tell something, this one included. */
  readonly instances: () => number;
}

interface CallerState {
  readonly demand: DemandRate;
  readonly bucket: TokenBucket;
  readonly told: Announcement;
}

const NEVER_TOLD: Announcement = { perSecond: 0, atMs: -Infinity, isDrawn: true };
/** A caller quiet for so long has a full bucket and nothing that stands; its state is dropped, ms. */
const FORGET_AFTER_MS = 60_000;
/** Callers looked at for that with each request: more than come, so that the state cannot grow for long. */
const LOOKED_AT = 2;

/** Whether the others still go by what was told before. */
function isHeard({ told }: CallerState, nowMs: number): boolean {
  return told.perSecond > 0 && nowMs - told.atMs < lastsMs(told);
}

/** A limiter that has seen nobody. */
export function createCallerLimiter(needs: CallerLimiterNeeds): CallerLimiter {
  const { random, others, instances } = needs;
  // In the order of their last request, since each one puts its caller last.
  const states = new Map<string, CallerState>();

  // Those of whom the others were told something that may still stand.
  const toldOf = new Set<string>();

  const dropQuiet = (nowMs: number): void => {
    let looked = 0;
    for (const [callerId, { demand }] of states) {
      if (looked >= LOOKED_AT || nowMs - demand.atMs < FORGET_AFTER_MS) return;
      states.delete(callerId);
      looked += 1;
    }
  };

  const toTell = (
    state: CallerState,
    limit: AccountLimit,
    nowMs: number,
  ): Announcement | undefined => {
    const notable = notableDemand(limit, instances());
    return demandToTell(demandAt(state.demand, nowMs), notable, state.told, nowMs, random);
  };

  return {
    decide(callerId, limit, nowMs) {
      const known = states.get(callerId) ?? {
        demand: NO_DEMAND,
        bucket: fullBucket(limit, nowMs),
        told: NEVER_TOLD,
      };
      const demand = addDemand(known.demand, nowMs);
      const grant = grantedPerSecond(limit, demand.perSecond, others.of(callerId, nowMs));
      const { bucket, decision } = takeToken(known.bucket, limit, grant, nowMs);
      const announcement = toTell({ ...known, demand }, limit, nowMs);
      states.delete(callerId);
      states.set(callerId, { demand, bucket, told: announcement ?? known.told });
      dropQuiet(nowMs);
      const isNews = announcement?.perSecond !== 0 || isHeard(known, nowMs);
      if (announcement !== undefined && isNews) toldOf.add(callerId);
      return { decision, announcement: isNews ? announcement : undefined };
    },
    sweep(nowMs) {
      const fallen: CallerAnnouncement[] = [];
      for (const callerId of [...toldOf]) {
        const state = states.get(callerId);
        if (state === undefined || !isHeard(state, nowMs)) {
          toldOf.delete(callerId);
          continue;
        }
        const perSecond = demandAt(state.demand, nowMs);
        if (!hasFallen(perSecond, state.told, nowMs)) continue;
        const announcement = { perSecond, atMs: nowMs, isDrawn: false };
        states.set(callerId, { ...state, told: announcement });
        fallen.push({ callerId, announcement });
      }
      return fallen;
    },
    callers: () => states.size,
  };
}
