import type { MayUse } from '../load-control';
import { REFUSALS, RefusalError } from '../refusals';
import { chooseRoute } from '../routing';
import type { PeerCandidate, RoutingDecision } from '../routing';
import type { ForwardResult } from '../spillover';
import { checkRegion, checkRequest } from './check-request';
import type { ServingDependencies } from './dependencies';
import { gatherRoutingInput } from './gather-routing-input';
import type { GatheredRouting } from './gather-routing-input';
import { logRoute, logServer } from './log-decision';
import { forwardResultOf, requireRoomForForeign, routeWithSpillover } from './spill-route';
import type { GatewayRequest, ResponseSink } from './types';

/** Makes one attempt at a request: places it, waits for its turn, sends it once, passes the answer on. */
export type AttemptRunner = (
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** Attempts over the given dependencies; a failed one throws a `RefusalError`. */
export function createAttemptRunner(dependencies: ServingDependencies): AttemptRunner {
  const { clock, logger, sender, forwarder, inFlight, loadControl, spillover } = dependencies;

  const runHere = async (
    request: GatewayRequest,
    mayUse: MayUse,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const slot = await loadControl.acquire(request, mayUse, signal);
    const { serverId, address } = slot;
    const open = inFlight.begin(serverId);
    try {
      logServer(logger, request, slot);
      // The request may have waited through a tightening of its regions.
      const { timeLeftMs } = checkRequest(dependencies, request);
      const lastCheck = () => {
        checkRequest(dependencies, request);
      };
      const target = { serverId, address, timeLeftMs, signal, lastCheck };
      await sender.send(target, request, slot.observe(sink));
      slot.answered();
    } finally {
      open[Symbol.dispose]();
      slot[Symbol.dispose]();
    }
  };

  const runAtPeer = async (
    request: GatewayRequest,
    peer: PeerCandidate,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const { timeLeftMs } = checkRequest(dependencies, request);
    const lastCheck = () => {
      checkRequest(dependencies, request);
      checkRegion({ ...dependencies, region: peer.region }, request);
    };
    const service = request.service.name;
    let result: ForwardResult = 'answered';
    spillover.begin(service, peer.region);
    try {
      await forwarder.forward({ ...peer, timeLeftMs, signal, lastCheck }, request, sink);
    } catch (error) {
      result = forwardResultOf(error, signal.aborted);
      throw error;
    } finally {
      spillover.end(service, peer.region, result, clock.monotonicMs());
    }
  };

  /** Decides between this region and the others. A request that was tried before goes wherever it can. */
  const route = (request: GatewayRequest, { input, mayUse }: GatheredRouting): RoutingDecision => {
    // A ticket can be redeemed at its owner alone, so what it covers is no work that could go elsewhere.
    const isForeign = request.origin.kind === 'peer' && request.guard?.idempotencyKey === undefined;
    if (isForeign) requireRoomForForeign(dependencies, request, mayUse);
    const isFirstTry = request.origin.kind === 'caller' && request.attempt === 1;
    if (!isFirstTry) return chooseRoute(input);
    return routeWithSpillover(dependencies, request, mayUse, input.peers);
  };

  return async (request, sink, signal) => {
    const { regions } = checkRequest(dependencies, request);
    const gathered = gatherRoutingInput(dependencies, request, regions);
    const { mayUse } = gathered;
    const decision = route(request, gathered);
    logRoute(logger, request, decision);
    switch (decision.kind) {
      case 'here':
        await runHere(request, mayUse, sink, signal);
        return;
      case 'peer':
        await runAtPeer(request, decision.peer, sink, signal);
        return;
      case 'none':
        throw new RefusalError(REFUSALS.noServer, {
          detail: decision.reason,
          step: 'choose-route',
          evidence: { kind: 'neverSent' },
        });
      default:
        decision satisfies never;
    }
  };
}
