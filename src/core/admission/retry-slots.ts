/**
 * Tells refused callers when to come back: each gets the time at which all that were refused before it could
 * have been served.
 *
 * It answers the second burst. Were all told "in one second", they would all come back in that second, be
 * refused together and come back together once more; the servers would swing between idle and full.
 */
export interface RetrySlots {
  /** When a request of `units` may hope for room. */
  next(units: number, excessMs: number, unitsPerMs: number, nowMs: number): number;
}

/** Nobody is told to come back sooner: a refusal costs both sides a round trip. */
export const SOONEST_RETRY_MS = 500;

/** Nobody is told to stay away longer: no estimate of load holds for that long. */
export const LATEST_RETRY_MS = 60_000;

/** Slots with nobody in them. */
export function createRetrySlots(): RetrySlots {
  let promisedUntilMs = 0;
  return {
    next(units, excessMs, unitsPerMs, nowMs) {
      const soonestAtMs = nowMs + Math.max(SOONEST_RETRY_MS, excessMs);
      const latestAtMs = nowMs + LATEST_RETRY_MS;
      const ownMs = unitsPerMs > 0 ? units / unitsPerMs : 0;
      promisedUntilMs = Math.min(latestAtMs, Math.max(promisedUntilMs + ownMs, soonestAtMs));
      return promisedUntilMs;
    },
  };
}
