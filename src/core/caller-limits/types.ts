/** Limit of a client account over all instances, as configured. */
export interface AccountLimit {
  readonly requestsPerSecond: number;
  readonly burstRequests: number;
}

/** Whether a request is within the limit of its caller. */
export type LimitDecision =
  | { readonly kind: 'admit' }
  /**
   * `retryAtMs` is the time reserved for a retry; `ratePerSecond` is the rate that this instance grants the caller
   * now.
   */
  | { readonly kind: 'refuse'; readonly retryAtMs: number; readonly ratePerSecond: number };
