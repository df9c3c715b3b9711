import type { MembershipView } from '../../src/core/membership';
import type { PeerForwarder } from '../../src/core/peers';
import { REFUSALS, RefusalError } from '../../src/core/refusals';
import type { GatewayRequest, ResponseSink, Serving } from '../../src/core/serving';
import type { Mutant } from './mutants';
import type { OrderServer } from './order-server';
import type { SimProcess } from './process';
import type { SimSender } from './sim-sender';
import type { World } from './world';

/** Dependencies of the simulated serving. */
export interface SimServingOptions {
  readonly world: World;
  readonly process: SimProcess;
  readonly servers: readonly OrderServer[];
  readonly sender: SimSender;
  readonly forwarder: PeerForwarder;
  readonly membership: MembershipView;
  /** Throws if the data must not be in this region. */
  readonly regionsOf: (request: GatewayRequest) => readonly string[];
  readonly mutant: Mutant;
}

const MAX_ATTEMPTS = 3;

/**
 * Worst-case behaviour of the code above the guard: it always prefers other regions, retries after every failure regardless
 * of the outcome, and sometimes sends a second attempt while the first is in progress. The invariants must hold all the same,
 * since the guard and the ledger below it enforce them.
 */
export function createSimServing(options: SimServingOptions): Serving {
  const { world, process, servers, sender, forwarder, membership, regionsOf, mutant } = options;

  const checkPeer = (request: GatewayRequest, region: string): void => {
    if (mutant.ignoresRegions === true || regionsOf(request).includes(region)) return;
    throw noServer('The data may not go there any more.');
  };

  const attemptOnce = async (
    request: GatewayRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    const regions = mutant.ignoresRegions === true ? undefined : regionsOf(request);
    const peers = membership
      .members()
      .filter((member) => member.region !== process.region)
      .filter((member) => regions === undefined || regions.includes(member.region));
    const mayForward = request.origin.kind === 'caller' || mutant.forwardsAgain === true;
    const here = servers.filter((server) => server.process.region === process.region);
    const goesAway = peers.length > 0 && mayForward && (here.length === 0 || world.chance(0.6));
    if (goesAway) {
      const peer = world.pick(peers);
      const timeLeftMs = Math.floor(request.deadlineAtMs - process.clock.monotonicMs());
      if (timeLeftMs <= 0) throw noServer('The deadline passed.');
      const lastCheck = () => checkPeer(request, peer.region);
      const { instanceId, peerAddress } = peer;
      const target = { instanceId, peerAddress, timeLeftMs, signal, lastCheck };
      await forwarder.forward(target, request, sink);
      return;
    }
    if (here.length === 0) throw noServer('No server here.');
    if (signal.aborted) throw noServer('Stopped.');
    const server = world.pick(here);
    const lastCheck = () => checkPeer(request, process.region);
    await sender(server, mutant.sendRequest?.(request) ?? request, sink, lastCheck);
  };

  const attempts = async (
    request: GatewayRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<void> => {
    for (let tries = 1; ; tries += 1) {
      try {
        await attemptOnce({ ...request, attempt: request.attempt + tries - 1 }, sink, signal);
        return;
      } catch (error) {
        if (tries === MAX_ATTEMPTS || sink.headSent) throw error;
      }
    }
  };

  return {
    async serve(request, sink, signal) {
      if (!world.chance(0.1)) {
        await attempts(request, sink, signal);
        return;
      }
      const both = [attempts(request, sink, signal), attempts(request, sink, signal)];
      const [first, second] = await Promise.allSettled(both);
      if (first?.status === 'fulfilled' || second?.status === 'fulfilled') return;
      throw first?.status === 'rejected' ? first.reason : new Error('no attempt');
    },
  };
}

function noServer(detail: string): RefusalError {
  return new RefusalError(REFUSALS.noServer, {
    detail,
    step: 'sim-serving',
    evidence: { kind: 'neverSent' },
  });
}
