/**
 * Latency of requests of each size on servers with little to do, learned per service.
 *
 * Stretch against one common minimum would call every long request strained, and against a mean over all
 * loads it would call lasting overload normal: the mean follows the overload, the limit follows the mean, and
 * the queue moves into the servers. So sizes are kept apart, and a baseline rises only by answers from
 * servers that had little to do, or by those that stay slow although next to nothing is sent to them.
 */
export interface LatencyBaseline {
  /** Expected latency of a request of this size with little load, ms; undefined before any answer. */
  expectedMs(units: number): number | undefined;
  /** Learns from an answer; `mayRise` when little load was the reason for its latency. */
  learn(units: number, latencyMs: number, mayRise: boolean): void;
}

/** Weight of an answer that is faster than the baseline, and of one that is slower. */
const FALL_WEIGHT = 0.05;
const RISE_WEIGHT = 0.05;

/** Sizes are told apart by powers of two. */
function bucketOf(units: number): number {
  return Math.max(0, Math.round(Math.log2(Math.max(1, units))));
}

/** A baseline that knows nothing. */
export function createLatencyBaseline(): LatencyBaseline {
  const buckets: (number | undefined)[] = [];

  const nearest = (bucket: number): number | undefined => {
    for (let distance = 0; distance < buckets.length + bucket; distance += 1) {
      const below = buckets[bucket - distance];
      if (below !== undefined) return below * 2 ** distance;
      const above = buckets[bucket + distance];
      if (above !== undefined) return above / 2 ** distance;
    }
    return undefined;
  };

  return {
    expectedMs: (units) => nearest(bucketOf(units)),
    learn(units, latencyMs, mayRise) {
      const bucket = bucketOf(units);
      const known = buckets[bucket];
      if (known === undefined) buckets[bucket] = latencyMs;
      else if (latencyMs < known) buckets[bucket] = known + FALL_WEIGHT * (latencyMs - known);
      else if (mayRise) buckets[bucket] = known + RISE_WEIGHT * (latencyMs - known);
    },
  };
}
