/** What a limit has seen since it last changed. */
export interface LimitWindow {
  readonly limitUnits: number;
  /** Most work in flight in the window. */
  readonly peakUnits: number;
  /** Mean work of the requests that ended in it. */
  readonly meanRequestUnits: number;
  /** Latency of the requests that ended in it, against that of like requests on servers with little to do. */
  readonly stretch: number;
}

/** Sets the next limit from what was seen; a stretch above `tolerance` is strain. */
export type LimitRule = (window: LimitWindow, tolerance: number) => number;

/** How a request ended at a server, as far as its latency tells something. */
export type RequestEnd =
  | { readonly kind: 'answered'; readonly latencyMs: number; readonly expectedMs: number }
  /** Failed, refused or cancelled: its latency tells nothing about load. */
  | { readonly kind: 'withoutAnswer' };

/** How much work may be in flight, adapted to what is seen. */
export interface AdaptiveLimit {
  limitUnits(): number;
  /** Mean work of a request of late. */
  meanRequestUnits(): number;
  inFlightUnits(): number;
  inFlightRequests(): number;
  hasRoom(): boolean;
  /** Whether there is room if one more request than the limit is allowed. */
  hasSparseRoom(): boolean;
  /** Latency of late against servers with little to do; 1 before anything is known. */
  stretch(): number;
  begin(units: number): void;
  end(units: number, end: RequestEnd, nowMs: number): void;
  /** A report said that the server itself had requests waiting at `atMs`. */
  noteServerQueue(atMs: number, nowMs: number): void;
}
