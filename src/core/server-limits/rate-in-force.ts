import type { KnownLimit } from './known-limits';

/** Time after the last answer of a server after which its limit may be out of date, ms. */
const OUTDATED_AFTER_MS = 5_000;
/** Rate of requests that find out whether an outdated limit still holds, per second. */
const TRIAL_PER_SECOND = 0.2;
/** Time over which the rate rises after a limit has ended, ms. */
const RISE_MS = 1_500;
/** Time in which the rate doubles meanwhile, ms. */
const DOUBLING_MS = 200;
/** Rate at which the rise starts at least, per second. */
const MIN_RISING_PER_SECOND = 1;

/**
 * Returns the rate at which all instances together may send to a server now, per second; undefined for any rate.
 *
 * A server whose limit has just ended has little work, so every instance would select it for its next requests and it
 * would have to name a limit again. So the rate rises from the former limit for a moment.
 *
 * A limit of 0 keeps all requests away, and with them the answer that would end it. If health checks say nothing
 * either, a request is sent now and then.
 */
export function rateInForce(known: KnownLimit | undefined, nowMs: number): number | undefined {
  if (known === undefined) return undefined;
  const { perSecond, observedAtMs, changedAtMs, previousPerSecond = 0 } = known;
  if (perSecond !== undefined) {
    const isOutdated = nowMs - observedAtMs > OUTDATED_AFTER_MS;
    return isOutdated ? Math.max(perSecond, TRIAL_PER_SECOND) : perSecond;
  }
  const sinceEndMs = nowMs - changedAtMs;
  if (sinceEndMs >= RISE_MS) return undefined;
  return Math.max(MIN_RISING_PER_SECOND, previousPerSecond) * 2 ** (sinceEndMs / DOUBLING_MS);
}
