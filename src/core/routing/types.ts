/** A backend server as routing sees it. */
export interface ServerCandidate {
  readonly serverId: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that this instance has open there. */
  readonly inFlightRequests: number;
}

/** Another instance through which a region can be reached. */
export interface PeerCandidate {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly region: string;
  readonly inFlightRequests: number;
}

/** Everything that a routing decision rests on. */
export interface RoutingInput {
  readonly ownFailureDomain: string;
  /** Servers of the service in this region, when the data may be here; else none. */
  readonly servers: readonly ServerCandidate[];
  /** Instances of other allowed regions that have servers of the service; none for forwarded requests. */
  readonly peers: readonly PeerCandidate[];
}

/** Where a request goes. */
export type RoutingDecision =
  | {
      readonly kind: 'server';
      readonly server: ServerCandidate;
      readonly runnersUp: readonly string[];
      readonly reason: string;
    }
  | {
      readonly kind: 'peer';
      readonly peer: PeerCandidate;
      readonly runnersUp: readonly string[];
      readonly reason: string;
    }
  | { readonly kind: 'none'; readonly reason: string };
