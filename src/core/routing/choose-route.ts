import type { PeerCandidate, RoutingDecision, RoutingInput } from './types';

/** How many of those not chosen a log line names. */
const RUNNERS_UP_NAMED = 3;

function byPeerLoad(left: PeerCandidate, right: PeerCandidate): number {
  return left.inFlightRequests - right.inFlightRequests;
}

/** Chooses where a request goes: a server of this region, else an instance of another. */
export function chooseRoute({ canServeHere, peers }: RoutingInput): RoutingDecision {
  if (canServeHere) return { kind: 'here' };
  const [peer, ...otherPeers] = [...peers].sort(byPeerLoad);
  if (peer === undefined) return { kind: 'none', reason: 'no allowed region has a server' };
  return {
    kind: 'peer',
    peer,
    runnersUp: otherPeers.slice(0, RUNNERS_UP_NAMED).map((other) => other.instanceId),
    reason: 'no server of this region may take it',
  };
}
