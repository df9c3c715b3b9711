/**
 * The share of its usual work that a server gets after it has come back.
 *
 * Answers the burst onto a cold server: it has no requests open, so by load alone it would be the first choice
 * for every arrival, while its prefix cache is empty and each request costs a whole prefill. A tenth at once
 * is enough to warm it and to find out a server that answers its checks but nothing else; then the share
 * rises in proportion to time, which adds no step at which work arrives all together.
 */
export const SLOW_START_LEAST_SHARE = 0.1;

/** From `SLOW_START_LEAST_SHARE` at the start to 1 after `slowStartMs`. */
export function slowStartShare(startedAtMs: number, slowStartMs: number, nowMs: number): number {
  if (slowStartMs <= 0) return 1;
  const part = (nowMs - startedAtMs) / slowStartMs;
  return Math.min(1, Math.max(SLOW_START_LEAST_SHARE, part));
}
