/**
 * Learns how much of what callers state as the most output they really get.
 *
 * Most callers state one generous `max_tokens` for everything. Taken at its word, a question of one line counts
 * as much as a page, and long work looks like a small part of the whole, so that it gets too few engines.
 */
export interface OutputEstimator {
  estimate(maxOutputTokens: number): number;
  learn(maxOutputTokens: number, outputTokens: number): void;
}

/** Weight of the latest answer. */
const WEIGHT = 0.02;

/** Share taken before any answer: half lies at most a factor of two from either side of the usual range. */
const FIRST_SHARE = 0.5;

function bucketOf(maxOutputTokens: number): number {
  return Math.round(Math.log2(Math.max(1, maxOutputTokens)));
}

/** An estimator that knows nothing; sizes stated are told apart by powers of two. */
export function createOutputEstimator(): OutputEstimator {
  const shares: (number | undefined)[] = [];
  return {
    estimate: (maxOutputTokens) =>
      maxOutputTokens * (shares[bucketOf(maxOutputTokens)] ?? FIRST_SHARE),
    learn(maxOutputTokens, outputTokens) {
      const bucket = bucketOf(maxOutputTokens);
      const share = Math.min(1, outputTokens / Math.max(1, maxOutputTokens));
      const known = shares[bucket] ?? FIRST_SHARE;
      shares[bucket] = known + WEIGHT * (share - known);
    },
  };
}
