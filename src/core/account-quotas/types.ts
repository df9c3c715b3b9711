import type { AccountQuota } from '../client-accounts';

/** Quota and cost of one request of an account. */
export interface QuotaRequest {
  readonly account: string;
  readonly quota: AccountQuota;
  /** Cost of the request, in the unit of the quota. */
  readonly cost: number;
}

/** State of a quota at the instance that counts it. */
export interface QuotaStanding {
  /** Remaining quota that may be spent now; below 0 if overspent. */
  readonly left: number;
  /** Regions that have not reported on the account within the last 700 ms. */
  readonly unheardRegions: readonly string[];
}

/** Decision on whether a request is within the quota of its account. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /** The account has spent its quota; the request may be retried after `retryAfterMs`. */
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly standing: QuotaStanding }
  /** No instance that counts the account answers. */
  | { readonly kind: 'unreachable'; readonly retryAfterMs: number };

/** Report of an instance on its count of an account, sent to the other instances that count it. */
export interface CountReport {
  readonly account: string;
  /** Identifies the count. A new one starts from 0, for example after a restart. */
  readonly countId: number;
  /** Cost counted by the sender since its count began, less refunds. */
  readonly total: number;
  /** Moving average of the cost counted by the sender per second. */
  readonly perSecond: number;
  /** Remaining quota of the account over all regions, as far as the sender knows. */
  readonly left: number;
  /** Whether the sender has run, or kept this count, long enough to have received the counts of others. */
  readonly isSettled: boolean;
}
