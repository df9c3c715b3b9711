/** How a request would fare in its own region. */
export interface HomeOutlook {
  /** Whether any server of the region may take it at all. */
  readonly canServe: boolean;
  /** Whether it would be refused here for want of room. */
  readonly wouldRefuse: boolean;
  readonly expectedWaitMs: number;
  readonly expectedServiceMs: number;
  /** Work in flight against its limit, 0 to 1 and a little above. */
  readonly utilisation: number;
}

/** Another region that the request's data may be in, that has servers for it and that can be reached. */
export interface RemoteRegion {
  readonly region: string;
  /** Time that the way there and back adds, ms. */
  readonly roundTripMs: number;
}

/** What one spillover decision rests on. */
export interface SpilloverInput {
  readonly service: string;
  readonly home: HomeOutlook;
  /** Empty for a request that is bound to its home. */
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

/** Why a request stays at home. */
export type HomeReason =
  | 'home has room'
  | 'bound to home'
  | 'gain below cost'
  | 'share of spillover used up'
  | 'no region takes more';

/** What a region said to a request that was forwarded to it. */
export type ForwardResult = 'answered' | 'refusedForLoad' | 'failed';
