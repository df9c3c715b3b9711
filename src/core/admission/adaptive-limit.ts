import { gradientRule } from './gradient-rule';
import type { AdaptiveLimit, LimitRule } from './types';

/** Answers after which a limit is set anew: enough that one long request does not decide alone. */
const WINDOW_ANSWERS = 20;

/** Where answers come seldom, a limit is also set anew after this time and so many answers. */
const SLOW_WINDOW_MS = 2_000;
const SLOW_WINDOW_ANSWERS = 3;

/** Requests of mean size that a server's fresh limit allows; it doubles with each used window until strain. */
export const FIRST_LIMIT_REQUESTS = 4;

/** Weight of the latest answer in the mean size of requests. */
const MEAN_WEIGHT = 0.05;

/** Share of a limit that stays when a server reports requests waiting in its own queue. */
const SERVER_QUEUE_KEPT_SHARE = 0.95;

/** Options of a limit. */
export interface AdaptiveLimitOptions {
  /** Work of a request, as long as none was seen. */
  readonly firstRequestUnits: number;
  /** Requests that are allowed before anything was seen. */
  readonly firstLimitRequests?: number;
  /** Stretch above which the limit shrinks. */
  readonly tolerance: number;
  readonly rule?: LimitRule;
}

/**
 * A limit on the work in flight, for one server or for all servers of a service as one instance uses them.
 *
 * It answers saturation, a slow server and a change of the work's mix. It rests on what this instance sees itself:
 * what it has in flight is exact, where a load report is already some hundred ms old. Other instances need no
 * message to be allowed for: the latency that they cause shows in the stretch, and each instance's limit then
 * settles at its part. Answers to requests that began before the last change tell of the limit before it and are
 * passed over; counted, they would make the limit swing. One request is always allowed, so that a server can show that it has recovered.
 */
export function createAdaptiveLimit(options: AdaptiveLimitOptions): AdaptiveLimit {
  const rule = options.rule ?? gradientRule;
  let meanRequestUnits = options.firstRequestUnits;
  const firstLimitRequests = options.firstLimitRequests ?? FIRST_LIMIT_REQUESTS;
  let limitUnits = firstLimitRequests * meanRequestUnits;
  let inFlightUnits = 0;
  let inFlightRequests = 0;
  let peakUnits = 0;
  let answers = 0;
  let latencyMs = 0;
  let expectedMs = 0;
  let lastStretch = 1;
  let hadStrain = false;
  let changedAtMs = Number.NEGATIVE_INFINITY;

  const setAnew = (nowMs: number) => {
    lastStretch = latencyMs / expectedMs;
    const seen = { limitUnits, peakUnits, meanRequestUnits, stretch: lastStretch };
    const next = rule(seen, options.tolerance);
    if (next < limitUnits) hadStrain = true;
    const grewFirst = next > limitUnits && !hadStrain;
    limitUnits = Math.max(meanRequestUnits, grewFirst ? 2 * limitUnits : next);
    changedAtMs = nowMs;
    answers = 0;
    latencyMs = 0;
    expectedMs = 0;
    peakUnits = inFlightUnits;
  };

  return {
    limitUnits: () => limitUnits,
    meanRequestUnits: () => meanRequestUnits,
    inFlightUnits: () => inFlightUnits,
    inFlightRequests: () => inFlightRequests,
    hasRoom: () =>
      inFlightRequests < (hadStrain ? 1 : firstLimitRequests) ||
      inFlightUnits + meanRequestUnits / 2 <= limitUnits,
    hasSparseRoom: () => inFlightUnits - meanRequestUnits / 2 <= limitUnits,
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
      answers += 1;
      latencyMs += end.latencyMs;
      expectedMs += end.expectedMs;
      const isSlow = answers >= SLOW_WINDOW_ANSWERS && nowMs - changedAtMs >= SLOW_WINDOW_MS;
      if (answers >= WINDOW_ANSWERS || isSlow) setAnew(nowMs);
    },
    noteServerQueue(atMs, nowMs) {
      if (atMs < changedAtMs) return;
      changedAtMs = nowMs;
      hadStrain = true;
      const kept = Math.max(inFlightUnits, limitUnits) * SERVER_QUEUE_KEPT_SHARE;
      limitUnits = Math.max(meanRequestUnits, Math.min(limitUnits, kept));
    },
  };
}
