/** What one answer of a backend server says about the limit on its requests. */
export type NamedLimit =
  /** The server takes requests without a limit. */
  | { readonly kind: 'none' }
  /** The server takes `perSecond` requests a second from all instances together; with 0 it takes none. */
  | { readonly kind: 'limit'; readonly perSecond: number }
  /** The value is not a number that can be applied. */
  | { readonly kind: 'malformed'; readonly text: string };

/**
 * How an instance learned of a limit: from the answer to a request, from the answer to a health check, or from another
 * instance.
 */
export type LimitSource = 'answer' | 'healthCheck' | 'instance';

/** An answer of a server, as far as it concerns its limit. */
export interface LimitObservation {
  /** Identifies one start of the server; a limit ends with it. */
  readonly incarnationId: string;
  readonly named: NamedLimit;
  /** When the answer arrived at the instance that observed it, monotonic ms. */
  readonly observedAtMs: number;
  readonly source: LimitSource;
}

/** Whether an instance may send one request to a server. */
export type PermitVerdict =
  { readonly kind: 'granted' } | { readonly kind: 'denied'; readonly retryAfterMs: number };
