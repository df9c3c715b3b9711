import type { MayUse } from '../load-control';
import type { PeerCandidate, RoutingInput } from '../routing';
import type { ServingDependencies } from './dependencies';
import type { GatewayRequest } from './types';

/** What a routing decision rests on, and which servers the request may go to. */
export interface GatheredRouting {
  readonly input: RoutingInput;
  readonly mayUse: MayUse;
}

/** Instances of other regions; a request that came from a peer gets none. */
function otherRegionPeers(
  { region, membership }: ServingDependencies,
  request: GatewayRequest,
  regions: readonly string[],
): readonly PeerCandidate[] {
  if (request.origin.kind === 'peer') return [];
  const servers = request.configuration.serversOf(request.service.name);
  const regionsWithServers = new Set(servers.map((server) => server.region));
  return membership
    .usablePeers()
    .filter((peer) => peer.region !== region && regions.includes(peer.region))
    .filter((peer) => regionsWithServers.has(peer.region));
}

/**
 * Collects what the routing decision rests on. Servers and instances that failed earlier tries are passed over,
 * and so are ejected servers, as long as anything else is left: one that lost a connection is better than none.
 * A server in its slow start is offered to a share of the requests, unless the region has no other.
 */
export function gatherRoutingInput(
  dependencies: ServingDependencies,
  request: GatewayRequest,
  regions: readonly string[],
): GatheredRouting {
  const { clock, random, availability, outliers, loadControl } = dependencies;
  const avoid = request.avoid ?? [];
  const inService: MayUse = (serverId) => availability.takesNewWork(serverId);
  const trusted: MayUse = (serverId) =>
    inService(serverId) &&
    !avoid.includes(serverId) &&
    outliers.mayUse(serverId, clock.monotonicMs(), random);
  const preferred: MayUse = (serverId) => availability.isOffered(serverId) && trusted(serverId);

  const peers = otherRegionPeers(dependencies, request, regions);
  const freshPeers = peers.filter(({ instanceId }) => !avoid.includes(instanceId));
  const here = [preferred, trusted].find((mayUse) => loadControl.canServe(request, mayUse));
  if (here !== undefined) {
    return { input: { canServeHere: true, peers: freshPeers }, mayUse: here };
  }
  if (freshPeers.length > 0) {
    return { input: { canServeHere: false, peers: freshPeers }, mayUse: trusted };
  }
  const canServeHere = loadControl.canServe(request, inService);
  return { input: { canServeHere, peers }, mayUse: inService };
}
