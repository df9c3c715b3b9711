import type { MayUse } from '../load-control';
import { REFUSALS, RefusalError } from '../refusals';
import { chooseRoute } from '../routing';
import type { PeerCandidate } from '../routing';
import { checkRegion, checkRequest } from './check-request';
import type { ServingDependencies } from './dependencies';
import { gatherRoutingInput } from './gather-routing-input';
import { logRoute, logServer } from './log-decision';
import type { GatewayRequest, ResponseSink } from './types';

/** Makes one attempt at a request: places it, waits for its turn, sends it once, passes the answer on. */
export type AttemptRunner = (
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** Attempts over the given dependencies; a failed one throws a `RefusalError`. */
export function createAttemptRunner(dependencies: ServingDependencies): AttemptRunner {
  const { logger, sender, forwarder, inFlight, loadControl } = dependencies;

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
    await forwarder.forward({ ...peer, timeLeftMs, signal, lastCheck }, request, sink);
  };

  return async (request, sink, signal) => {
    const { regions } = checkRequest(dependencies, request);
    const { input, mayUse } = gatherRoutingInput(dependencies, request, regions);
    const decision = chooseRoute(input);
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
