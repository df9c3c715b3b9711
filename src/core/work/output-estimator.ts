/**
 * Estimates output tokens by learning which share of `max_tokens` answers really use.
 *
 * Most callers set one generous `max_tokens` for all requests. If it were used as the estimate, a question of one line
 * would count as much as a page, and long requests would seem a small part of the load and get too few engines.
 */
export interface OutputEstimator {
  /** Returns the expected output tokens of a request with this `max_tokens`. */
  estimate(maxOutputTokens: number): number;
  /** Records how many output tokens a request with this `max_tokens` generated. */
  learn(maxOutputTokens: number, outputTokens: number): void;
}

/** Weight of the latest answer in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.02;

/** Share assumed before any answer: one half is within a factor of two of either end of the usual range. */
const INITIAL_SHARE = 0.5;

function bucketOf(maxOutputTokens: number): number {
  return Math.round(Math.log2(Math.max(1, maxOutputTokens)));
}

/** Creates an estimator without any data, which learns one share per power of two of `max_tokens`. */
export function createOutputEstimator(): OutputEstimator {
  const sharesByBucket: (number | undefined)[] = [];
  return {
    estimate: (maxOutputTokens) =>
      maxOutputTokens * (sharesByBucket[bucketOf(maxOutputTokens)] ?? INITIAL_SHARE),
    learn(maxOutputTokens, outputTokens) {
      const bucket = bucketOf(maxOutputTokens);
      const share = Math.min(1, outputTokens / Math.max(1, maxOutputTokens));
      const current = sharesByBucket[bucket] ?? INITIAL_SHARE;
      sharesByBucket[bucket] = current + NEWEST_SAMPLE_WEIGHT * (share - current);
    },
  };
}
