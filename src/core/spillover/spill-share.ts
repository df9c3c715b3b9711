import type { SpilloverOptions, Weights } from '../configuration';

/**
 * Controls the share of a service's arrivals that is spilled to other regions.
 *
 * Protects against load that swings between regions when one has lost capacity or receives more than it can
 * serve. If each request went wherever it would be served soonest, all requests of a region would leave within
 * a second of its queue growing. They would reach caches that hold none of their prefixes, where the same work
 * costs more, until the next region is overloaded too and sends everything back.
 *
 * So the share follows an average over seconds, changes at a bounded rate in both directions, and has
 * hysteresis: it rises while more than `RISE_THRESHOLD` of the requests kept at home are in excess, and falls
 * only below `FALL_THRESHOLD`. The total excess consists of the spilled requests and the kept requests in
 * excess. The weights of the deployment determine how much of the excess is spilled: all of it if tail latency
 * weighs at least as much as remote serving, otherwise a proportional part; the rest waits or is refused.
 */
export interface SpillShare {
  /** Records a request that stays at home; `inExcess` means that home cannot serve it well. */
  recordKept(inExcess: boolean, nowMs: number): void;
  /** Records a request that is spilled. */
  recordSpilled(nowMs: number): void;
  /** Takes a permit to spill one request; returns false if none remains. */
  tryTakePermit(): boolean;
  share(): number;
}

/** Share of kept requests in excess above which the spilled share rises; random variation rarely reaches it. */
const RISE_THRESHOLD = 0.05;
/** Share of kept requests in excess below which the spilled share falls. */
const FALL_THRESHOLD = 0.01;
/**
 * Time over which arrivals are averaged, ms: longer than a burst of one caller, shorter than a queue takes to
 * build up.
 */
const AVERAGING_TIME_MS = 3_000;
/**
 * Time from the first request of a service until its share may rise, ms. An instance that has just started
 * knows neither the limits of its servers nor the duration of requests, so that all requests look in excess.
 * With 790 instances replaced a day, one would start to spill from a healthy region every two minutes.
 */
const WARM_UP_MS = 20_000;
/** Maximum number of saved permits; with more, spillover could burst after a quiet period. */
const MAX_SAVED_PERMITS = 2;
/** Share of a request's cost that a cold cache adds. */
export const COLD_CACHE_SHARE = 0.5;

/** Returns the cost of serving one request remotely, relative to the request's own service time. */
export function remoteCost({ remoteShare, cost }: Weights): number {
  return remoteShare + cost * COLD_CACHE_SHARE;
}

/** Returns the share of the excess that is spilled, 0 to 1. */
export function spillableShareOfExcess(weights: Weights): number {
  const remoteServingCost = remoteCost(weights);
  return remoteServingCost === 0 ? 1 : Math.min(1, weights.tailLatency / remoteServingCost);
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Returns the weight of a new request in a moving average, by the time since the previous one. */
function weightOf(elapsedMs: number): number {
  return 1 - Math.exp(-elapsedMs / AVERAGING_TIME_MS);
}

/** Creates a spill share that starts at 0. */
export function createSpillShare(
  options: () => SpilloverOptions,
  weights: () => Weights,
): SpillShare {
  /** Share that may be spilled; `measuredSpilledShare` is the moving average of what is spilled. */
  let share = 0;
  let savedPermits = 0;
  let keptExcessShare = 0;
  let measuredSpilledShare = 0;
  let firstRequestAtMs: number | undefined;
  let lastRequestAtMs: number | undefined;

  const targetShare = (): number => {
    if (keptExcessShare < FALL_THRESHOLD) return 0;
    const excess = measuredSpilledShare + (1 - measuredSpilledShare) * keptExcessShare;
    const wanted = spillableShareOfExcess(weights()) * excess;
    return keptExcessShare > RISE_THRESHOLD ? wanted : share;
  };

  /** Updates the share to `nowMs`; returns the weight of one request in the averages. */
  const advance = (nowMs: number): number => {
    const elapsedMs = Math.min(AVERAGING_TIME_MS, nowMs - (lastRequestAtMs ?? nowMs));
    lastRequestAtMs = nowMs;
    firstRequestAtMs ??= nowMs;
    if (nowMs - firstRequestAtMs < WARM_UP_MS) return weightOf(elapsedMs);
    const { risePerSecond, fallPerSecond } = options();
    const elapsedS = elapsedMs / 1000;
    const change = clamp(
      targetShare() - share,
      -fallPerSecond * elapsedS,
      risePerSecond * elapsedS,
    );
    share = clamp(share + change, 0, 1);
    savedPermits = Math.min(MAX_SAVED_PERMITS, savedPermits + share);
    return weightOf(elapsedMs);
  };

  return {
    recordKept(inExcess, nowMs) {
      const weight = advance(nowMs);
      keptExcessShare += weight * ((inExcess ? 1 : 0) - keptExcessShare);
      measuredSpilledShare -= weight * measuredSpilledShare;
    },
    recordSpilled(nowMs) {
      measuredSpilledShare += advance(nowMs) * (1 - measuredSpilledShare);
    },
    tryTakePermit() {
      if (savedPermits < 1) return false;
      savedPermits -= 1;
      return true;
    },
    share: () => share,
  };
}
