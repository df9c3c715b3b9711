import type { AccountQuota } from '../client-accounts';

/** How instances find and reach one another, for the counting of quotas. */
export interface QuotaPeer {
  readonly instanceId: string;
  readonly region: string;
  /** Where it takes messages. */
  readonly address: string;
}

/** One request of an account, as far as its quota goes. */
export interface QuotaRequest {
  readonly account: string;
  readonly quota: AccountQuota;
  /** In the unit of the quota. */
  readonly cost: number;
}

/** Where a quota stands at the instance that counts it. */
export interface QuotaStanding {
  /** What may be spent now; below 0 where more has been spent. */
  readonly left: number;
  /** Regions of which nothing has been heard about the account lately. */
  readonly unheardRegions: readonly string[];
}

/** Whether a request is inside the quota of its account. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /** The account has spent what it may; it has enough for this request after that time, ms. */
  | { readonly kind: 'spent'; readonly retryAfterMs: number; readonly standing: QuotaStanding }
  /** Nobody who counts the account's requests answers. */
  | { readonly kind: 'unreachable'; readonly retryAfterMs: number };

/** What one instance tells others of its count of an account. */
export interface ToldCount {
  readonly account: string;
  /** Names the count: another one begins anew, after a restart for example. */
  readonly countId: number;
  /** Spent at the teller's word since it began to count, what was given back left out. */
  readonly total: number;
  /** Spent at its word each second, lately. */
  readonly perSecond: number;
  /** What is left of the account's quota over all regions, as the teller knows. */
  readonly left: number;
  /** Whether the teller has run for long enough to know what others count. */
  readonly isSettled: boolean;
}
