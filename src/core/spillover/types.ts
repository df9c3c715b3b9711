/** Estimate of how a request would be served in its home region. */
export interface HomeOutlook {
  /** Whether any server of the region may serve the request. */
  readonly canServe: boolean;
  /** Whether the region would refuse the request for lack of capacity. */
  readonly wouldRefuse: boolean;
  readonly expectedWaitMs: number;
  readonly expectedServiceMs: number;
  /** Work in flight divided by its limit: 0 to 1, at times slightly above. */
  readonly utilisation: number;
}

/** Another region that may hold the request's data, has servers for it and is reachable. */
export interface RemoteRegion {
  readonly region: string;
  /** Round-trip time that serving the request there adds, ms. */
  readonly roundTripMs: number;
}

/** Input of a spillover decision. */
export interface SpilloverInput {
  readonly service: string;
  readonly home: HomeOutlook;
  /** Regions that the request may go to; empty if it must stay at home. */
  readonly regions: readonly RemoteRegion[];
  readonly nowMs: number;
}

/** Whether a request leaves its home region. */
export type SpilloverDecision =
  | { readonly kind: 'home'; readonly reason: HomeReason }
  | {
      readonly kind: 'leave';
      readonly region: string;
      readonly runnersUp: readonly string[];
      readonly reason: 'home has no server' | 'home is overloaded';
    };

/** Reason why a request stays at home. */
export type HomeReason =
  | 'home has room'
  | 'bound to home'
  | 'gain below cost'
  | 'share of spillover used up'
  | 'no region takes more';

/** Outcome of a request that was forwarded to a region. */
export type ForwardResult = 'answered' | 'refusedForLoad' | 'failed';
