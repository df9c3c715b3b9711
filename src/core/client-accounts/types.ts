/** Types of the client accounts in one version of the configuration. */

/** Quota of an account over all instances together. */
export interface AccountQuota {
  /** Unit of cost: one per request, or the tokens of the prompt and of the longest answer that the request allows. */
  readonly unit: 'requests' | 'tokens';
  /** Cost of a request that states no number of tokens, if the unit is tokens. */
  readonly plainCost: number;
  /** Cost that may be spent per second on average. */
  readonly perSecond: number;
  /** Cost that may be spent at once after a time without requests. */
  readonly burst: number;
}

/** A client account. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 digest of each of its keys, in hexadecimal; the keys themselves are not stored anywhere. */
  readonly keyDigests: readonly string[];
  /** Priority of its requests, which overrides that of the route; undefined to use that of the route. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be handled; empty for all. */
  readonly homeRegions: readonly string[];
  /** Undefined if its requests are not limited. */
  readonly quota: AccountQuota | undefined;
}
