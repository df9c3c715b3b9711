/** An amount that is refilled at a rate up to a most, and may be overdrawn. */
export interface Bucket {
  readonly left: number;
  readonly atMs: number;
}

/** How a bucket is refilled. */
export interface BucketRefill {
  readonly perSecond: number;
  readonly most: number;
}

const MS_PER_S = 1_000;
/** Least rate that times are worked out with: a share may be nothing. */
const LEAST_PER_SECOND = 1;

/** The bucket at `nowMs`. */
export function refilled(bucket: Bucket, { perSecond, most }: BucketRefill, nowMs: number): Bucket {
  const added = (Math.max(0, nowMs - bucket.atMs) * perSecond) / MS_PER_S;
  return { left: Math.min(most, bucket.left + added), atMs: nowMs };
}

/** The bucket after something was taken; a negative amount is put back. */
export function without(bucket: Bucket, amount: number): Bucket {
  return { ...bucket, left: bucket.left - amount };
}

/** Time until something is left again, ms. */
export function untilPositiveMs({ left }: Bucket, { perSecond }: BucketRefill): number {
  return left > 0 ? 0 : (-left * MS_PER_S) / Math.max(LEAST_PER_SECOND, perSecond);
}
