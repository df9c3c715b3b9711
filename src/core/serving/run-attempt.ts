import { REFUSALS, RefusalError } from '../refusals';
import { chooseRoute } from '../routing';
import { checkRegion, checkRequest } from './check-request';
import type { ServingDependencies } from './dependencies';
import { gatherRoutingInput } from './gather-routing-input';
import { logDecision } from './log-decision';
import type { GatewayRequest, ResponseSink } from './types';

/** Makes one attempt at a request: places it, waits for its turn, sends it once, passes the answer on. */
export type AttemptRunner = (
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** Attempts over the given dependencies; a failed one throws a `RefusalError`. */
export function createAttemptRunner(dependencies: ServingDependencies): AttemptRunner {
  const { logger, sender, forwarder, inFlight } = dependencies;

  return async (request, sink, signal) => {
    const { regions } = checkRequest(dependencies, request);
    const decision = chooseRoute(gatherRoutingInput(dependencies, request, regions));
    logDecision(logger, request, decision);
    const { timeLeftMs } = checkRequest(dependencies, request);
    switch (decision.kind) {
      case 'server': {
        const { serverId, address } = decision.server;
        const open = inFlight.begin(serverId);
        try {
          const lastCheck = () => {
            checkRequest(dependencies, request);
          };
          await sender.send({ serverId, address, timeLeftMs, signal, lastCheck }, request, sink);
        } finally {
          open[Symbol.dispose]();
        }
        return;
      }
      case 'peer': {
        const { region } = decision.peer;
        const lastCheck = () => {
          checkRequest(dependencies, request);
          checkRegion({ ...dependencies, region }, request);
        };
        const target = { ...decision.peer, timeLeftMs, signal, lastCheck };
        await forwarder.forward(target, request, sink);
        return;
      }
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
