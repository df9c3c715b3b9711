import { gradientRule } from './gradient-rule';
import type { AdaptiveLimit, LimitRule } from './types';

/** Number of answers after which the limit is updated: enough that one long request does not decide alone. */
const WINDOW_ANSWERS = 20;

/** Where answers are rare, the limit is also updated after this time, given the number of answers below. */
const SLOW_WINDOW_MS = 2_000;
const SLOW_WINDOW_ANSWERS = 3;

/**
 * Initial limit of a server, in requests of mean size. It doubles with each fully used window until the first
 * overload.
 */
export const INITIAL_LIMIT_REQUESTS = 4;

/** Weight of the latest answer in the moving average of request sizes. */
const MEAN_WEIGHT = 0.05;

/** Factor applied to the limit when a server reports requests waiting in its own queue. */
const SERVER_QUEUE_LIMIT_FACTOR = 0.95;

/** Options of an adaptive limit. */
export interface AdaptiveLimitOptions {
  /** Assumed work of a request until one has ended. */
  readonly initialRequestUnits: number;
  /** Initial limit, in requests; `INITIAL_LIMIT_REQUESTS` by default. */
  readonly initialLimitRequests?: number;
  /** Stretch (measured relative to expected latency) above which the limit decreases. */
  readonly tolerance: number;
  readonly rule?: LimitRule;
}

/**
 * Creates a limit on the work in flight, for one server or for all servers of a service as used by this instance.
 *
 * The limit adapts to saturation, to slow servers and to changes in the mix of requests. It uses only what this
 * instance observes: its own work in flight is exact, whereas a load report is already some hundred ms old. No
 * messages between instances are needed: the latency that other instances cause shows in the stretch, so the limit
 * of each instance settles at its share. Answers to requests that began before the last change reflect the previous
 * limit and are ignored; counting them would make the limit oscillate. One request is always allowed, so that a
 * server can show that it has recovered.
 */
export function createAdaptiveLimit(options: AdaptiveLimitOptions): AdaptiveLimit {
  const rule = options.rule ?? gradientRule;
  let meanRequestUnits = options.initialRequestUnits;
  const initialLimitRequests = options.initialLimitRequests ?? INITIAL_LIMIT_REQUESTS;
  let limitUnits = initialLimitRequests * meanRequestUnits;
  let inFlightUnits = 0;
  let inFlightRequests = 0;
  let peakUnits = 0;
  let answerCount = 0;
  let latencySumMs = 0;
  let expectedSumMs = 0;
  let lastStretch = 1;
  let hasSeenOverload = false;
  let changedAtMs = Number.NEGATIVE_INFINITY;

  const updateLimit = (nowMs: number) => {
    lastStretch = latencySumMs / expectedSumMs;
    const window = { limitUnits, peakUnits, meanRequestUnits, stretch: lastStretch };
    const next = rule(window, options.tolerance);
    if (next < limitUnits) hasSeenOverload = true;
    const isSlowStart = next > limitUnits && !hasSeenOverload;
    limitUnits = Math.max(meanRequestUnits, isSlowStart ? 2 * limitUnits : next);
    changedAtMs = nowMs;
    answerCount = 0;
    latencySumMs = 0;
    expectedSumMs = 0;
    peakUnits = inFlightUnits;
  };

  return {
    limitUnits: () => limitUnits,
    meanRequestUnits: () => meanRequestUnits,
    inFlightUnits: () => inFlightUnits,
    inFlightRequests: () => inFlightRequests,
    hasCapacity: () =>
      inFlightRequests < (hasSeenOverload ? 1 : initialLimitRequests) ||
      inFlightUnits + meanRequestUnits / 2 <= limitUnits,
    hasSparseCapacity: () => inFlightUnits - meanRequestUnits / 2 <= limitUnits,
    stretch: () => lastStretch,
    begin(units) {
      inFlightUnits += units;
      inFlightRequests += 1;
      peakUnits = Math.max(peakUnits, inFlightUnits);
    },
    end(units, end, nowMs) {
      inFlightUnits -= units;
      inFlightRequests -= 1;
      if (inFlightRequests === 0) inFlightUnits = 0;
      if (end.kind === 'withoutAnswer') return;
      if (nowMs - end.latencyMs < changedAtMs) return;
      meanRequestUnits += MEAN_WEIGHT * (units - meanRequestUnits);
      answerCount += 1;
      latencySumMs += end.latencyMs;
      expectedSumMs += end.expectedMs;
      const isSlow = answerCount >= SLOW_WINDOW_ANSWERS && nowMs - changedAtMs >= SLOW_WINDOW_MS;
      if (answerCount >= WINDOW_ANSWERS || isSlow) updateLimit(nowMs);
    },
    decreaseForServerQueue(atMs, nowMs) {
      if (atMs < changedAtMs) return;
      changedAtMs = nowMs;
      hasSeenOverload = true;
      const reducedUnits = Math.max(inFlightUnits, limitUnits) * SERVER_QUEUE_LIMIT_FACTOR;
      limitUnits = Math.max(meanRequestUnits, Math.min(limitUnits, reducedUnits));
    },
  };
}
