/** A caller's limit over all instances, as the configuration states it. */
export interface AccountLimit {
  readonly requestsPerSecond: number;
  readonly burstRequests: number;
}

/** Whether a request is inside its caller's limit. */
export type LimitDecision =
  | { readonly kind: 'admit' }
  /** `retryAtMs` is the time kept for it; `ratePerSecond` what this instance grants the caller now. */
  | { readonly kind: 'refuse'; readonly retryAtMs: number; readonly ratePerSecond: number };
