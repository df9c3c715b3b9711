import type { AccountLimit, LimitDecision } from './types';

/** A token bucket whose rate depends on the caller's demand at the other instances. */
export interface TokenBucket {
  readonly tokens: number;
  readonly atMs: number;
  /** Latest retry time that was given to a refused request. */
  readonly reservedUntilMs: number;
}

/** Maximum delay until a retry time, ms. Demand will have changed by then. */
const MAX_RETRY_DELAY_MS = 30_000;
/** Minimum rate for the calculation of retry times, requests/s: a share may be close to zero. */
const MIN_PER_SECOND = 0.05;

/** Time constant with which tokens above the burst of a reduced grant decay, ms. */
const SURPLUS_DECAY_MS = 3_000;

/** Returns a full bucket. */
export function fullBucket({ burstRequests }: AccountLimit, nowMs: number): TokenBucket {
  return { tokens: burstRequests, atMs: nowMs, reservedUntilMs: nowMs };
}

/**
 * Decides on one request. Refused requests get retry times in sequence at the granted rate: with the same time for
 * all, they would all come back at once, and all but the first would be refused again.
 */
export function takeToken(
  bucket: TokenBucket,
  limit: AccountLimit,
  grantPerSecond: number,
  nowMs: number,
): { readonly bucket: TokenBucket; readonly decision: LimitDecision } {
  const perSecond = Math.max(MIN_PER_SECOND, grantPerSecond);
  const burst = Math.max(1, limit.burstRequests * Math.min(1, perSecond / limit.requestsPerSecond));
  const filled = bucket.tokens + ((nowMs - bucket.atMs) * perSecond) / 1000;
  // Tokens above the burst of a reduced grant decay over seconds: a caller that moves to another entry instance
  // uses them until the other instances learn that its demand there has ended. If they were kept, they would add up
  // to a whole burst at each of 340 instances.
  const surplus = Math.max(0, bucket.tokens - burst);
  const remainingSurplus = surplus * Math.exp(-(nowMs - bucket.atMs) / SURPLUS_DECAY_MS);
  const tokens = Math.min(burst, filled) + remainingSurplus;
  if (tokens >= 1) {
    return {
      bucket: { ...bucket, tokens: tokens - 1, atMs: nowMs },
      decision: { kind: 'admit' },
    };
  }
  const tokenIntervalMs = 1000 / perSecond;
  const nextTokenMs = nowMs + (1 - tokens) * tokenIntervalMs;
  const reservedMs = Math.max(nextTokenMs, bucket.reservedUntilMs + tokenIntervalMs);
  const retryAtMs = Math.ceil(
    Math.min(reservedMs, Math.max(nextTokenMs, nowMs + MAX_RETRY_DELAY_MS)),
  );
  return {
    bucket: { tokens, atMs: nowMs, reservedUntilMs: retryAtMs },
    decision: { kind: 'refuse', retryAtMs, ratePerSecond: perSecond },
  };
}
