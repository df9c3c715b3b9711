import type { HomeOutlook } from '../spillover';
import { currentlyAllowedRegions } from '../residency';
import type { ServingDependencies } from './dependencies';
import type { GatewayRequest } from './types';

/** A server of this region, as the next request would find it. */
export interface ExplainedServer {
  readonly serverId: string;
  readonly failureDomain: string;
  /** Neither down nor leaving, as far as this instance knows. */
  readonly takesNewWork: boolean;
  /** Requests that this instance has open there. */
  readonly inFlightRequests: number;
}

/** Another region in which the data may be. */
export interface ExplainedRegion {
  readonly region: string;
  readonly hasServers: boolean;
  /** Instances there that may be given work. */
  readonly instances: readonly string[];
}

/** Why a request of a caller to a service would go where, at this instance and now. */
export interface RouteExplanation {
  readonly instanceId: string;
  readonly region: string;
  readonly caller: string;
  readonly service: string;
  readonly allowedRegions: readonly string[];
  readonly servers: readonly ExplainedServer[];
  readonly otherRegions: readonly ExplainedRegion[];
  /** How it would fare in this region; undefined where its data may not be. */
  readonly outlook: HomeOutlook | undefined;
  readonly conclusion: string;
}

function concludeFrom(
  isAllowedHere: boolean,
  outlook: HomeOutlook | undefined,
  reachable: number,
): string {
  if (!isAllowedHere) return 'refused with 421: the data may not be handled in this region';
  if (outlook?.canServe !== true) {
    return reachable > 0
      ? 'forwarded to another region: no server of this one may take it'
      : 'refused: no server of an allowed region may take it';
  }
  if (outlook.wouldRefuse) {
    return reachable > 0
      ? 'spills over in part, the rest is refused: this region has no room'
      : 'refused: this region has no room, and it may go nowhere else';
  }
  const waitMs = Math.round(outlook.expectedWaitMs);
  return waitMs > 0
    ? `waits about ${waitMs} ms for a server of this region`
    : 'served here at once';
}

/** Explains without deciding: nothing is sent, queued or counted. Undefined for an unknown caller or service. */
export function explainRoute(
  dependencies: ServingDependencies,
  callerId: string,
  serviceName: string,
): RouteExplanation | undefined {
  const { clock, instanceId, region, membership, availability, inFlight } = dependencies;
  const configuration = dependencies.configuration.current();
  const caller = configuration?.callerById(callerId);
  const service =
    configuration?.serviceNamed(serviceName) ?? configuration?.serviceOfModel(serviceName);
  if (configuration === undefined || caller === undefined || service === undefined) {
    return undefined;
  }

  const allowedRegions = currentlyAllowedRegions(configuration, caller.id, service.name);
  const allServers = configuration.serversOf(service.name);
  const isAllowedHere = allowedRegions.includes(region);
  const request: GatewayRequest = {
    requestId: 'explain',
    attempt: 1,
    origin: { kind: 'caller' },
    caller,
    service,
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    deadlineAtMs: clock.monotonicMs() + service.deadlineMs,
    configuration,
  };
  const outlook = isAllowedHere
    ? dependencies.loadControl.outlook(request, (id) => availability.takesNewWork(id))
    : undefined;
  const otherRegions = allowedRegions
    .filter((name) => name !== region)
    .map((name) => ({
      region: name,
      hasServers: allServers.some((server) => server.region === name),
      instances: membership
        .usablePeers()
        .filter((peer) => peer.region === name)
        .map((peer) => peer.instanceId),
    }));
  const reachable = otherRegions.filter((one) => one.hasServers && one.instances.length > 0).length;
  return {
    instanceId,
    region,
    caller: caller.id,
    service: service.name,
    allowedRegions,
    servers: allServers
      .filter((server) => server.region === region)
      .map(({ id, failureDomain }) => ({
        serverId: id,
        failureDomain,
        takesNewWork: availability.takesNewWork(id),
        inFlightRequests: inFlight.requestsAt(id),
      })),
    otherRegions,
    outlook,
    conclusion: concludeFrom(isAllowedHere, outlook, reachable),
  };
}
