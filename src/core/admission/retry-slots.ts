/**
 * Assigns retry times to refused requests: each gets the time at which all that were refused before it could have
 * been served.
 *
 * If all were told to retry in one second, they would all come back in that second, be refused together and come
 * back together again; the servers would oscillate between idle and full.
 */
export interface RetrySlots {
  /**
   * Returns the time at which a request of `units` is likely to find capacity. `excessMs` is the time by which its
   * expected wait was too long.
   */
  next(units: number, excessMs: number, unitsPerMs: number, nowMs: number): number;
}

/** Minimum delay until a retry, ms: a refusal costs both sides a round trip. */
export const MIN_RETRY_DELAY_MS = 500;

/** Maximum delay until a retry, ms: no estimate of load holds for longer. */
export const MAX_RETRY_DELAY_MS = 60_000;

/** Creates the retry slots of one service. */
export function createRetrySlots(): RetrySlots {
  let reservedUntilMs = 0;
  return {
    next(units, excessMs, unitsPerMs, nowMs) {
      const earliestAtMs = nowMs + Math.max(MIN_RETRY_DELAY_MS, excessMs);
      const latestAtMs = nowMs + MAX_RETRY_DELAY_MS;
      const serviceMs = unitsPerMs > 0 ? units / unitsPerMs : 0;
      reservedUntilMs = Math.min(latestAtMs, Math.max(reservedUntilMs + serviceMs, earliestAtMs));
      return reservedUntilMs;
    },
  };
}
