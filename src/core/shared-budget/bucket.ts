/** Token bucket: an amount that refills at a rate up to a maximum, and may be overdrawn. */
export interface Bucket {
  /** Remaining amount at `atMs`; below 0 if overdrawn. */
  readonly left: number;
  readonly atMs: number;
}

/** Refill rate and capacity of a bucket. */
export interface BucketRefill {
  readonly perSecond: number;
  /** Capacity of the bucket. */
  readonly most: number;
}

const MS_PER_S = 1_000;
/** Minimum rate used to compute times, since the rate of a share may be 0. */
const MIN_PER_SECOND = 1;

/** Returns the bucket refilled up to `nowMs`. */
export function refilled(bucket: Bucket, { perSecond, most }: BucketRefill, nowMs: number): Bucket {
  const added = (Math.max(0, nowMs - bucket.atMs) * perSecond) / MS_PER_S;
  return { left: Math.min(most, bucket.left + added), atMs: nowMs };
}

/** Returns the bucket after an amount was withdrawn; a negative amount is put back. */
export function withdraw(bucket: Bucket, amount: number): Bucket {
  return { ...bucket, left: bucket.left - amount };
}

/** Returns the time until the bucket holds a positive amount again, ms. */
export function timeUntilPositiveMs({ left }: Bucket, { perSecond }: BucketRefill): number {
  return left > 0 ? 0 : (-left * MS_PER_S) / Math.max(MIN_PER_SECOND, perSecond);
}
