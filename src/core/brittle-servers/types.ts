/** What one answer of a backend server says about how many rejections it bears. */
export type StatedBrittleness =
  | { readonly kind: 'none' }
  /** The server fails if it has to reject more requests than this within a second, for want of room. */
  | { readonly kind: 'brittle'; readonly maxRejectionsPerSecond: number }
  /** The value is not a number that can be applied. */
  | { readonly kind: 'malformed'; readonly text: string };

/** Whether a request may be sent to a server. */
export type SlotVerdict =
  { readonly kind: 'granted'; readonly lease: SlotLease } | { readonly kind: 'denied' };

/** A slot of a server that one request holds. */
export interface SlotLease {
  /** Gives the slot back; `wasRejected` if the server had no room for the request. */
  release(wasRejected: boolean): void;
}
