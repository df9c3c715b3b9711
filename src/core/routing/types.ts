/** Another instance through which a region can be reached. */
export interface PeerCandidate {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly region: string;
  readonly inFlightRequests: number;
}

/** Input of `chooseRoute`. */
export interface RoutingInput {
  /** Whether a server of this region may serve the request. */
  readonly canServeHere: boolean;
  /** Instances of other allowed regions that have servers of the service; empty for forwarded requests. */
  readonly peers: readonly PeerCandidate[];
}

/** Where a request goes. */
export type RoutingDecision =
  /** To a server of this region, which is chosen when the request leaves its queue. */
  | { readonly kind: 'here' }
  | {
      readonly kind: 'peer';
      readonly peer: PeerCandidate;
      readonly runnersUp: readonly string[];
      readonly reason: string;
    }
  | { readonly kind: 'none'; readonly reason: string };
