import type { AccountLimit, LimitDecision } from './types';

/** A token bucket whose rate changes with the caller's demand elsewhere. */
export interface TokenBucket {
  readonly tokens: number;
  readonly atMs: number;
  /** Up to here, times were promised to refused requests. */
  readonly promisedUntilMs: number;
}

/** Latest time that a refused caller is told to come back at; beyond it, demand will have changed, ms. */
const LATEST_RETRY_MS = 30_000;
/** Least rate that times are worked out with: a share may be close to nothing, requests/s. */
const LEAST_PER_SECOND = 0.05;

/** Time constant with which tokens above a smaller grant's burst are taken out, ms. */
const SURPLUS_KEPT_MS = 3_000;

/** A bucket that is full. */
export function fullBucket({ burstRequests }: AccountLimit, nowMs: number): TokenBucket {
  return { tokens: burstRequests, atMs: nowMs, promisedUntilMs: nowMs };
}

/**
 * Decides about one request. Refused requests are given times one after the other at the granted rate: told one
 * and the same time, they would all come back at once, and all but the first would be refused again.
 */
export function takeToken(
  bucket: TokenBucket,
  limit: AccountLimit,
  grantPerSecond: number,
  nowMs: number,
): { readonly bucket: TokenBucket; readonly decision: LimitDecision } {
  const perSecond = Math.max(LEAST_PER_SECOND, grantPerSecond);
  const burst = Math.max(1, limit.burstRequests * Math.min(1, perSecond / limit.requestsPerSecond));
  const filled = bucket.tokens + ((nowMs - bucket.atMs) * perSecond) / 1000;
  // What a smaller grant leaves over is taken out over seconds: a caller that changes its entry lives on it until
  // the others have heard that it left them. Kept for good, it would be a whole burst at each of 340 instances.
  const surplus = Math.max(0, bucket.tokens - burst);
  const keptSurplus = surplus * Math.exp(-(nowMs - bucket.atMs) / SURPLUS_KEPT_MS);
  const tokens = Math.min(burst, filled) + keptSurplus;
  if (tokens >= 1) {
    return {
      bucket: { ...bucket, tokens: tokens - 1, atMs: nowMs },
      decision: { kind: 'admit' },
    };
  }
  const everyMs = 1000 / perSecond;
  const nextTokenMs = nowMs + (1 - tokens) * everyMs;
  const wantedMs = Math.max(nextTokenMs, bucket.promisedUntilMs + everyMs);
  const retryAtMs = Math.ceil(Math.min(wantedMs, Math.max(nextTokenMs, nowMs + LATEST_RETRY_MS)));
  return {
    bucket: { tokens, atMs: nowMs, promisedUntilMs: retryAtMs },
    decision: { kind: 'refuse', retryAtMs, ratePerSecond: perSecond },
  };
}
