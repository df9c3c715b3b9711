import type { MayUse } from '../load-control';
import { chooseRoute } from '../routing';
import type { PeerCandidate, RoutingDecision } from '../routing';
import { SPILLOVER_EVENTS, mayAcceptForwarded } from '../spillover';
import type { ForwardResult, RemoteRegion, SpilloverDecision } from '../spillover';
import { REFUSALS, RefusalError } from '../refusals';
import type { ServingDependencies } from './dependencies';
import type { GatewayRequest } from './types';

/** Spillover as the running instance uses it, between the pure decision and the forwarding of requests. */

/**
 * Time that the way to another region and back is taken to add, ms. Regions are dozens of times as far from one
 * another as failure domains, which are about a millisecond apart; it only matters beside waits of its own size.
 */
const ASSUMED_ROUND_TRIP_MS = 40;

/** When a region that is full for others' work may have room again; its own bursts last about this long, ms. */
const FOREIGN_RETRY_MS = 1_000;

function regionsOf(peers: readonly PeerCandidate[]): RemoteRegion[] {
  const names = new Set(peers.map(({ region }) => region));
  return [...names].map((region) => ({ region, roundTripMs: ASSUMED_ROUND_TRIP_MS }));
}

function toRoute(
  decision: SpilloverDecision,
  canServeHere: boolean,
  peers: readonly PeerCandidate[],
): RoutingDecision {
  if (decision.kind === 'leave') {
    const route = chooseRoute({
      canServeHere: false,
      peers: peers.filter(({ region }) => region === decision.region),
    });
    return route.kind === 'peer' ? { ...route, reason: decision.reason } : route;
  }
  if (canServeHere) return { kind: 'here' };
  return { kind: 'none', reason: decision.reason };
}

/**
 * Decides for a request of a caller whether it leaves this region, and logs it when it does. Asked for each
 * request once, also for those that may go nowhere else, since the share that leaves is a share of them all.
 */
export function routeWithSpillover(
  dependencies: ServingDependencies,
  request: GatewayRequest,
  mayUse: MayUse,
  peers: readonly PeerCandidate[],
): RoutingDecision {
  const { clock, logger, loadControl, spillover, region } = dependencies;
  const home = loadControl.outlook(request, mayUse);
  const decision = spillover.decide({
    service: request.service.name,
    home,
    regions: regionsOf(peers),
    nowMs: clock.monotonicMs(),
  });
  if (decision.kind === 'leave') {
    logger.event(SPILLOVER_EVENTS.left, {
      requestId: request.requestId,
      service: request.service.name,
      home: region,
      region: decision.region,
      runnersUp: decision.runnersUp,
      reason: decision.reason,
      expectedWaitMs: Math.round(home.expectedWaitMs),
    });
  }
  return toRoute(decision, home.canServe, peers);
}

/** Refuses a request that another region forwarded when this one needs its room for its own callers. */
export function requireRoomForForeign(
  dependencies: ServingDependencies,
  request: GatewayRequest,
  mayUse: MayUse,
): void {
  const { clock, logger, loadControl, region } = dependencies;
  const { spillover } = request.configuration.document.resilience;
  const outlook = loadControl.outlook(request, mayUse);
  if (mayAcceptForwarded(outlook, spillover)) return;
  logger.event(SPILLOVER_EVENTS.foreignRefused, {
    requestId: request.requestId,
    service: request.service.name,
    region,
    utilisation: Number(outlook.utilisation.toFixed(2)),
  });
  throw new RefusalError(REFUSALS.overloaded, {
    detail: 'This region has no room beside the work of its own callers.',
    step: 'admit-foreign',
    evidence: { kind: 'neverSent' },
    retryAtUnixMs: clock.unixMs() + FOREIGN_RETRY_MS,
  });
}

/** What a failed forward says of the region it went to. */
export function forwardResultOf(error: unknown, callerGone: boolean): ForwardResult {
  // A caller that hung up says nothing about the region.
  if (callerGone) return 'answered';
  const isForLoad =
    error instanceof RefusalError &&
    (error.definition.slug === REFUSALS.overloaded.slug ||
      error.definition.slug === REFUSALS.noServer.slug);
  return isForLoad ? 'refusedForLoad' : 'failed';
}
