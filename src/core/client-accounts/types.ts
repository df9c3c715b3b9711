/** Client accounts, as one version of the configuration holds them. */

/** How much an account may ask, over all instances together. */
export interface AccountQuota {
  /** What a request costs: one each, or the tokens of its prompt and of the longest answer that it asks for. */
  readonly unit: 'requests' | 'tokens';
  /** Cost of a request that states no tokens, where tokens are counted. */
  readonly plainCost: number;
  /** Cost that may be spent each second. */
  readonly perSecond: number;
  /** Cost that may be spent at once, after a time without requests. */
  readonly burst: number;
}

/** One client account. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of each of its keys, in hexadecimal; the keys themselves are kept nowhere. */
  readonly keyDigests: readonly string[];
  /** Rank of its requests, which goes before the route's; undefined where the route's holds. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be handled; empty for all. */
  readonly homeRegions: readonly string[];
  /** Undefined where it may ask as much as it likes. */
  readonly quota: AccountQuota | undefined;
}
