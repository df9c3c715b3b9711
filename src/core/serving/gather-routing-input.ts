import { keepUsable } from '../outliers';
import { withoutFailed } from '../routing';
import type { RoutingInput } from '../routing';
import type { ServingDependencies } from './dependencies';
import type { GatewayRequest } from './types';

/** Collects what the routing decision rests on. A request that came from a peer gets no peers to go to. */
export function gatherRoutingInput(
  {
    clock,
    random,
    region,
    failureDomain,
    membership,
    availability,
    inFlight,
    outliers,
  }: ServingDependencies,
  request: GatewayRequest,
  regions: readonly string[],
): RoutingInput {
  const servers = request.configuration.serversOf(request.service.name);
  const regionsWithServers = new Set(servers.map((server) => server.region));
  const mayForward = request.origin.kind === 'caller';
  const all = {
    ownFailureDomain: failureDomain,
    servers: availability
      .usable(servers.filter((server) => server.region === region))
      .map((server) => ({
        serverId: server.id,
        address: server.address,
        failureDomain: server.failureDomain,
        inFlightRequests: inFlight.requestsAt(server.id),
      })),
    peers: !mayForward
      ? []
      : membership
          .usablePeers()
          .filter((peer) => peer.region !== region)
          .filter((peer) => regions.includes(peer.region) && regionsWithServers.has(peer.region)),
  };
  const rest = withoutFailed(all, request.avoid);
  return { ...rest, servers: keepUsable(outliers, rest.servers, clock.monotonicMs(), random) };
}
