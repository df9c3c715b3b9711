import type { AccountQuota } from '../client-accounts';

/** Keeps the remaining quota of each account, as last reported by the instances that count it. */
export interface Standings {
  /** Records a reported remaining quota. */
  record(account: string, left: number, nowMs: number): void;
  /** Evaluates one request against the last report. */
  evaluate(account: string, spending: SpendingRequest, nowMs: number): StandingVerdict;
  /** Deletes expired standings, except those for which retry times after `nowMs` have been given to callers. */
  deleteExpired(nowMs: number): void;
}

/** A request to spend from the quota of an account. */
export interface SpendingRequest {
  readonly cost: number;
  readonly quota: AccountQuota;
  /** Cost spent at this instance and not yet reported to the instance that counts the account. */
  readonly unreportedCost: number;
}

/** Result of evaluating a request locally, without asking another instance. */
export type StandingVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly left: number }
  /** Too little is known locally: the instance that counts the account has to be asked. */
  | { readonly kind: 'unknown' };

/** Options of the standings. */
export interface StandingsOptions {
  /** Returns the number of instances over which the requests of an account are spread. */
  readonly instances: () => number;
}

/** Time for which a standing is used, ms. An instance that spends receives several newer ones in this time. */
const TTL_MS = 1_000;
/**
 * Maximum fraction of the remaining quota that one instance may spend before it has reported it. It is limited because
 * other instances may do the same meanwhile.
 */
const UNREPORTED_FRACTION = 0.25;
/** Bounds of the retry delay that callers are given, ms. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;
const MS_PER_S = 1_000;

interface Standing {
  readonly left: number;
  readonly atMs: number;
  /** Earliest retry time for the next refused request; earlier times were given to other requests. */
  readonly nextRetryAtMs: number;
}

/**
 * Creates a store of standings, which decides requests of busy accounts locally.
 *
 * An account that sends requests all the time, possibly at many times its usual rate, would otherwise have each request
 * wait for the instance that counts the account. That costs messages just when that instance is busiest and delays
 * refusals: while the account is over its quota, requests would be late or end at their deadline.
 */
export function createStandings({ instances }: StandingsOptions): Standings {
  const standings = new Map<string, Standing>();

  /**
   * Refuses a request. Successive retry times are spaced at this instance's part of the refill rate, so that callers do
   * not all retry at once.
   */
  const refuse = (
    account: string,
    standing: Standing,
    left: number,
    { cost, quota }: SpendingRequest,
    nowMs: number,
  ): StandingVerdict => {
    const perMs = quota.perSecond / MS_PER_S;
    const dueAtMs = Math.max(nowMs - left / perMs, standing.nextRetryAtMs);
    standings.set(account, {
      ...standing,
      nextRetryAtMs: dueAtMs + (cost * instances()) / perMs,
    });
    const waitMs = Math.ceil(dueAtMs - nowMs);
    const retryAfterMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    return { kind: 'spent', retryAfterMs, left };
  };

  return {
    record(account, left, nowMs) {
      const nextRetryAtMs = standings.get(account)?.nextRetryAtMs ?? -Infinity;
      standings.set(account, { left, atMs: nowMs, nextRetryAtMs });
    },
    evaluate(account, spending, nowMs) {
      const standing = standings.get(account);
      if (standing === undefined || nowMs - standing.atMs > TTL_MS) return { kind: 'unknown' };
      const { cost, quota, unreportedCost } = spending;
      if (unreportedCost + cost <= standing.left * UNREPORTED_FRACTION) return { kind: 'granted' };
      const refilledSince = (quota.perSecond * (nowMs - standing.atMs)) / MS_PER_S;
      const left = standing.left + refilledSince - unreportedCost;
      return left <= 0 ? refuse(account, standing, left, spending, nowMs) : { kind: 'unknown' };
    },
    deleteExpired(nowMs) {
      for (const [account, { atMs, nextRetryAtMs }] of standings) {
        if (nowMs - atMs > TTL_MS && nextRetryAtMs < nowMs) standings.delete(account);
      }
    },
  };
}
