/** Measurements of a limit since its last change. */
export interface LimitWindow {
  readonly limitUnits: number;
  /** Maximum work in flight during the window. */
  readonly peakUnits: number;
  /** Mean work of the requests that ended in the window. */
  readonly meanRequestUnits: number;
  /**
   * Latency of the requests that ended in the window, relative to that of similar requests on servers with little
   * load.
   */
  readonly stretch: number;
}

/** Returns the next limit for a window of measurements; a `stretch` above `tolerance` means overload. */
export type LimitRule = (window: LimitWindow, tolerance: number) => number;

/** How a request ended at a server, as far as its latency is informative. */
export type RequestEnd =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly expectedMs: number }
  /** Failed, refused or cancelled: its latency says nothing about load. */
  | { readonly kind: 'withoutAnswer' };

/** Limit on the work in flight that adapts to measured latency. */
export interface AdaptiveLimit {
  limitUnits(): number;
  /** Recent mean work of a request. */
  meanRequestUnits(): number;
  inFlightUnits(): number;
  inFlightRequests(): number;
  /** Returns whether another request may begin. */
  hasCapacity(): boolean;
  /** Returns whether a request of a sparse flow may begin; it may exceed the limit by one request. */
  hasSparseCapacity(): boolean;
  /** Recent latency relative to that on servers with little load; 1 before any measurement. */
  stretch(): number;
  begin(units: number): void;
  end(units: number, end: RequestEnd, nowMs: number): void;
  /** Decreases the limit because the server reported requests waiting in its own queue at `atMs`. */
  decreaseForServerQueue(atMs: number, nowMs: number): void;
}
