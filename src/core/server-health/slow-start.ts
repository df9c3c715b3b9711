/**
 * Share of its usual work that a server gets at the start of its slow start.
 *
 * Without a slow start a server that has just come back receives a burst: it has no open requests, so by load alone
 * it would be the first choice for every arrival, while its prefix cache is empty and each request costs a whole
 * prefill. A tenth is enough to warm the cache and to detect a server that answers its checks but nothing else. The
 * share then rises in proportion to time, so there is no step at which work arrives all at once.
 */
export const SLOW_START_MIN_SHARE = 0.1;

/** Returns the share of its usual work that a server gets: `SLOW_START_MIN_SHARE` at first, 1 after `slowStartMs`. */
export function slowStartShare(startedAtMs: number, slowStartMs: number, nowMs: number): number {
  if (slowStartMs <= 0) return 1;
  const elapsedShare = (nowMs - startedAtMs) / slowStartMs;
  return Math.min(1, Math.max(SLOW_START_MIN_SHARE, elapsedShare));
}
