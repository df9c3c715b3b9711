import type { LoadRequest, Policy, PolicyFactory, PolicySetup } from '../harness';

/**
 * The plain way of using several regions: each request goes to the region where this instance has least open for
 * each server, without hysteresis, bounds or a gate.
 */
export const leastInFlightAnywhere: PolicyFactory = {
  name: 'least-in-flight-anywhere',
  create: createPolicy,
};

function createPolicy(setup: PolicySetup): Policy {
  const { actions, instance, instances, servers, random } = setup;
  const open = new Map<string, number>();
  const placeOf = new Map<number, string>();
  const openAt = (place: string) => open.get(place) ?? 0;

  const serversIn = (region: string, service: string) =>
    servers.filter((server) => server.region === region && server.service === service);

  const enter = (request: LoadRequest, place: string) => {
    placeOf.set(request.requestId, place);
    open.set(place, openAt(place) + 1);
  };

  const sendHere = (request: LoadRequest) => {
    const [first, ...rest] = serversIn(instance.region, request.service);
    if (first === undefined) {
      actions.refuse(request, 'no server');
      return;
    }
    const best = rest.reduce(
      (least, one) => (openAt(one.serverId) < openAt(least.serverId) ? one : least),
      first,
    );
    enter(request, best.serverId);
    actions.send(request, best.serverId);
  };

  const loadOf = (region: string, service: string): number => {
    const inRegion = serversIn(region, service);
    const requests =
      region === instance.region
        ? inRegion.reduce((sum, { serverId }) => sum + openAt(serverId), 0)
        : openAt(region);
    return requests / Math.max(1, inRegion.length);
  };

  return {
    onRequest(request) {
      const regions = request.allowedRegions.filter(
        (region) => serversIn(region, request.service).length > 0,
      );
      const best = regions.reduce(
        (least, region) =>
          loadOf(region, request.service) < loadOf(least, request.service) ? region : least,
        instance.region,
      );
      if (request.fromInstanceId !== undefined || best === instance.region) {
        sendHere(request);
        return;
      }
      const peers = instances.filter(({ region }) => region === best);
      const peer = peers[Math.floor(random.next() * peers.length)];
      if (peer === undefined) {
        sendHere(request);
        return;
      }
      enter(request, best);
      actions.forward(request, peer.instanceId);
    },
    onAttemptEnd(request, end) {
      const place = placeOf.get(request.requestId);
      placeOf.delete(request.requestId);
      if (place !== undefined) open.set(place, openAt(place) - 1);
      if (end.kind === 'answered' || end.kind === 'answeredByPeer' || end.kind === 'cancelled') {
        return;
      }
      actions.refuse(request, 'failed');
    },
    onGone: () => {},
  };
}
