import type { SpilloverOptions, Weights } from '../configuration';

/**
 * Which share of a service's arrivals leaves its home region.
 *
 * Answers a region that has lost capacity or gets more than it can serve. If each request went wherever it
 * would be served soonest at that moment, all of a region would leave within a second of its queue growing:
 * onto caches that hold none of its prefixes, where the same work costs more, until the next region is
 * overloaded too and sends everything back. One notices load that swings between regions.
 *
 * So the share follows what was seen over seconds, moves at a bounded rate in both directions, and keeps still
 * between two marks: it rises while more than `PRESSED_SHARE` of the requests kept at home are in excess, and
 * falls only below `RELAXED_SHARE`. What left and what was kept in excess make up the whole excess. How much of the excess leaves is for the deployment to weigh: all of it
 * where tail latency weighs as much as remote serving or more, else in proportion; the rest waits or is refused.
 */
export interface SpillShare {
  /** Notes a request that stays; `inExcess` when home cannot serve it well. */
  noteKept(inExcess: boolean, nowMs: number): void;
  /** Notes a request that leaves. */
  noteLeft(nowMs: number): void;
  /** Takes the right to spill one request; false while the share is used up. */
  take(): boolean;
  share(): number;
}

/** Above this share of kept requests in excess the spilled share rises; chance alone reaches it rarely. */
const PRESSED_SHARE = 0.05;
/** Below this share it falls. */
const RELAXED_SHARE = 0.01;
/** Time over which arrivals are averaged: longer than a burst of one caller, shorter than a queue builds, ms. */
const AVERAGED_MS = 3_000;
/**
 * Time from the first request of a service until its share may rise. An instance that has just started knows
 * neither its servers' limits nor how long work takes, and everything looks like excess to it; with 790 instances
 * replaced a day, one would start to spill from a healthy region every two minutes.
 */
const SETTLING_MS = 20_000;
/** Rights to spill that may be saved up; more would let a quiet spell end in a burst. */
const MOST_SAVED = 2;
/** Part of a request's cost that a cold cache adds. */
export const COLD_CACHE_SHARE = 0.5;

/** What serving one request elsewhere costs, in units of the request's own service time. */
export function remoteCost({ remoteShare, cost }: Weights): number {
  return remoteShare + cost * COLD_CACHE_SHARE;
}

/** Part of the excess that leaves, 0 to 1. */
export function willingness(weights: Weights): number {
  const dislike = remoteCost(weights);
  return dislike === 0 ? 1 : Math.min(1, weights.tailLatency / dislike);
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/** Weight of one more request in an average, by the time since the one before. */
function weightOf(elapsedMs: number): number {
  return 1 - Math.exp(-elapsedMs / AVERAGED_MS);
}

/** A share of nothing. */
export function createSpillShare(
  options: () => SpilloverOptions,
  weights: () => Weights,
): SpillShare {
  let share = 0;
  let saved = 0;
  let pressedShare = 0;
  let leftShare = 0;
  let firstMs: number | undefined;
  let lastMs: number | undefined;

  const goal = (): number => {
    if (pressedShare < RELAXED_SHARE) return 0;
    const excess = leftShare + (1 - leftShare) * pressedShare;
    const wanted = willingness(weights()) * excess;
    return pressedShare > PRESSED_SHARE ? wanted : share;
  };

  /** Moves the share on to `nowMs`; returns the weight of one request in the averages. */
  const advance = (nowMs: number): number => {
    const elapsedMs = Math.min(AVERAGED_MS, nowMs - (lastMs ?? nowMs));
    lastMs = nowMs;
    firstMs ??= nowMs;
    if (nowMs - firstMs < SETTLING_MS) return weightOf(elapsedMs);
    const { risePerSecond, fallPerSecond } = options();
    const elapsedS = elapsedMs / 1000;
    const change = clamp(goal() - share, -fallPerSecond * elapsedS, risePerSecond * elapsedS);
    share = clamp(share + change, 0, 1);
    saved = Math.min(MOST_SAVED, saved + share);
    return weightOf(elapsedMs);
  };

  return {
    noteKept(inExcess, nowMs) {
      const weight = advance(nowMs);
      pressedShare += weight * ((inExcess ? 1 : 0) - pressedShare);
      leftShare -= weight * leftShare;
    },
    noteLeft(nowMs) {
      leftShare += advance(nowMs) * (1 - leftShare);
    },
    take() {
      if (saved < 1) return false;
      saved -= 1;
      return true;
    },
    share: () => share,
  };
}
