import type { PeerCandidate, RoutingDecision, RoutingInput, ServerCandidate } from './types';

/** How many of those not chosen a log line names. */
const RUNNERS_UP_NAMED = 3;

function byLoad(ownFailureDomain: string) {
  return (left: ServerCandidate, right: ServerCandidate): number => {
    const loadDifference = left.inFlightRequests - right.inFlightRequests;
    if (loadDifference !== 0) return loadDifference;
    const leftNear = left.failureDomain === ownFailureDomain ? 0 : 1;
    const rightNear = right.failureDomain === ownFailureDomain ? 0 : 1;
    return leftNear - rightNear;
  };
}

function byPeerLoad(left: PeerCandidate, right: PeerCandidate): number {
  return left.inFlightRequests - right.inFlightRequests;
}

/** Chooses where a request goes: the least loaded server of this region, else an instance of another. */
export function chooseRoute(input: RoutingInput): RoutingDecision {
  const servers = [...input.servers].sort(byLoad(input.ownFailureDomain));
  const [server, ...otherServers] = servers;
  if (server !== undefined) {
    return {
      kind: 'server',
      server,
      runnersUp: otherServers.slice(0, RUNNERS_UP_NAMED).map((other) => other.serverId),
      reason: 'least loaded server of this region',
    };
  }
  const [peer, ...otherPeers] = [...input.peers].sort(byPeerLoad);
  if (peer !== undefined) {
    return {
      kind: 'peer',
      peer,
      runnersUp: otherPeers.slice(0, RUNNERS_UP_NAMED).map((other) => other.instanceId),
      reason: 'no server of this region may take it',
    };
  }
  return { kind: 'none', reason: 'no allowed region has a server' };
}
