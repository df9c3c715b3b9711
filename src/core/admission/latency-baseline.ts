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

/**
 * Answers of a size that move its baseline together. One at a time, the fast ones alone would move it under
 * load, and it would sink from the mean to the fastest answer ever given.
 */
const ANSWERS_TOGETHER = 20;

/** Weight of their mean. */
const MEAN_WEIGHT = 0.3;

interface SizeBucket {
  expectedMs: number;
  answers: number;
  sumMs: number;
  /** Answers among them that may raise the baseline. */
  risers: number;
}

/** Sizes are told apart by powers of two. */
function bucketOf(units: number): number {
  return Math.max(0, Math.round(Math.log2(Math.max(1, units))));
}

/** A baseline that knows nothing. */
export function createLatencyBaseline(): LatencyBaseline {
  const buckets: (SizeBucket | undefined)[] = [];

  const nearest = (bucket: number): number | undefined => {
    for (let distance = 0; distance < buckets.length + bucket; distance += 1) {
      const below = buckets[bucket - distance]?.expectedMs;
      if (below !== undefined) return below * 2 ** distance;
      const above = buckets[bucket + distance]?.expectedMs;
      if (above !== undefined) return above / 2 ** distance;
    }
    return undefined;
  };

  return {
    expectedMs: (units) => nearest(bucketOf(units)),
    learn(units, latencyMs, mayRise) {
      const bucket = bucketOf(units);
      const known = buckets[bucket];
      if (known === undefined) {
        buckets[bucket] = { expectedMs: latencyMs, answers: 0, sumMs: 0, risers: 0 };
        return;
      }
      known.answers += 1;
      known.sumMs += latencyMs;
      if (mayRise) known.risers += 1;
      if (known.answers < ANSWERS_TOGETHER) return;
      const meanMs = known.sumMs / known.answers;
      const moves = meanMs < known.expectedMs || known.risers > known.answers / 2;
      if (moves) known.expectedMs += MEAN_WEIGHT * (meanMs - known.expectedMs);
      known.answers = 0;
      known.sumMs = 0;
      known.risers = 0;
    },
  };
}
