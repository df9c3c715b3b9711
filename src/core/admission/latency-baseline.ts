/**
 * Latency of requests by size on servers with little load, learned per service.
 *
 * With one common minimum as the baseline, every long request would look like overload. With a mean over all loads,
 * lasting overload would look normal: the mean follows the overload, the limit follows the mean, and requests queue
 * inside the servers. So the baseline is kept per size, and rises only by answers from servers with little load, or
 * by answers that stay slow although the server gets next to no requests.
 */
export interface LatencyBaseline {
  /** Returns the expected latency of a request of this size at little load, ms; undefined before any answer. */
  expectedMs(units: number): number | undefined;
  /**
   * Updates the baseline with an answer. `canRaise` says that load cannot explain its latency, so the baseline may
   * rise.
   */
  learn(units: number, latencyMs: number, canRaise: boolean): void;
}

/**
 * Number of answers of a size per update of its baseline. If each answer updated it, only the fast ones would do so
 * under load, and it would sink from the mean to the fastest answer ever.
 */
const ANSWERS_PER_UPDATE = 20;

/** Weight of the mean of these answers in an update. */
const UPDATE_WEIGHT = 0.3;

interface SizeBucket {
  expectedMs: number;
  answers: number;
  sumMs: number;
  /** Number of these answers that may raise the baseline. */
  raisingAnswers: number;
}

/** Returns the bucket of a size; each bucket stands for a power of two. */
function bucketOf(units: number): number {
  return Math.max(0, Math.round(Math.log2(Math.max(1, units))));
}

/** Creates a baseline per bucket of sizes. Sizes without answers are scaled from the nearest bucket. */
export function createLatencyBaseline(): LatencyBaseline {
  const buckets: (SizeBucket | undefined)[] = [];

  const expectedFromNearest = (bucket: number): number | undefined => {
    for (let distance = 0; distance < buckets.length + bucket; distance += 1) {
      const below = buckets[bucket - distance]?.expectedMs;
      if (below !== undefined) return below * 2 ** distance;
      const above = buckets[bucket + distance]?.expectedMs;
      if (above !== undefined) return above / 2 ** distance;
    }
    return undefined;
  };

  return {
    expectedMs: (units) => expectedFromNearest(bucketOf(units)),
    learn(units, latencyMs, canRaise) {
      const bucket = bucketOf(units);
      const known = buckets[bucket];
      if (known === undefined) {
        buckets[bucket] = { expectedMs: latencyMs, answers: 0, sumMs: 0, raisingAnswers: 0 };
        return;
      }
      known.answers += 1;
      known.sumMs += latencyMs;
      if (canRaise) known.raisingAnswers += 1;
      if (known.answers < ANSWERS_PER_UPDATE) return;
      const meanMs = known.sumMs / known.answers;
      const shouldUpdate = meanMs < known.expectedMs || known.raisingAnswers > known.answers / 2;
      if (shouldUpdate) known.expectedMs += UPDATE_WEIGHT * (meanMs - known.expectedMs);
      known.answers = 0;
      known.sumMs = 0;
      known.raisingAnswers = 0;
    },
  };
}
