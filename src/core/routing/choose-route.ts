import type { PeerCandidate, RoutingDecision, RoutingInput } from './types';

/** Maximum number of alternatives named in a decision. */
const MAX_RUNNERS_UP = 3;

function byPeerLoad(left: PeerCandidate, right: PeerCandidate): number {
  return left.inFlightRequests - right.inFlightRequests;
}

/**
 * Chooses where a request goes: to a server of this region if possible, otherwise to an instance of another
 * region.
 */
export function chooseRoute({ canServeHere, peers }: RoutingInput): RoutingDecision {
  if (canServeHere) return { kind: 'here' };
  const [peer, ...otherPeers] = [...peers].sort(byPeerLoad);
  if (peer === undefined) return { kind: 'none', reason: 'no allowed region has a server' };
  return {
    kind: 'peer',
    peer,
    runnersUp: otherPeers.slice(0, MAX_RUNNERS_UP).map((other) => other.instanceId),
    reason: 'no server of this region may take it',
  };
}
