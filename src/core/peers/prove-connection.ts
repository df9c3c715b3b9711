import { errorText } from '../errors';
import type { Clock } from '../clock';
import type { RefusalError } from '../refusals';
import type { GatewayRequest } from '../serving/types';
import type { AttemptCanceller } from './cancel';
import { lostForward } from './forward-answer';
import type { AttemptId } from './forward-ledger';
import type { PeerConnections } from './peer-connections';

/** Time for a connection to a peer to stand; connecting between regions takes a few round trips. */
const READY_TIMEOUT_MS = 1_000;

/** What proving needs to know of the target. */
export interface ProvenTarget {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly timeLeftMs: number;
}

function notSent(peer: string, detail: string, cause?: unknown): RefusalError {
  return lostForward(peer, detail, { kind: 'neverSent' }, cause);
}

function waitForReady(
  connections: PeerConnections,
  { instanceId, peerAddress, timeLeftMs }: ProvenTarget,
  clock: Clock,
): Promise<void> {
  const deadline = clock.unixMs() + Math.min(READY_TIMEOUT_MS, timeLeftMs);
  return new Promise((resolve, reject) => {
    connections.to(peerAddress).waitForReady(deadline, (error) => {
      if (error === undefined) resolve();
      else reject(notSent(instanceId, `No connection: ${errorText(error)}.`, error));
    });
  });
}

/**
 * Makes sure that a connection stands before a request is written to it; one that can't be had proves that
 * nothing was sent. A kept connection may have gone silent, though, and look as good as ever until its next
 * keepalive. A call that may not be repeated would be lost on it with an unknown outcome, so such a call waits
 * for one answered message first: a round trip is the price of knowing.
 */
export async function proveConnection(
  connections: PeerConnections,
  clock: Clock,
  target: ProvenTarget,
  request: GatewayRequest,
  probe: AttemptCanceller,
): Promise<void> {
  await waitForReady(connections, target, clock);
  if (request.guard?.idempotencyKey === undefined) return;
  const nothing: AttemptId = {
    fromInstanceId: '',
    fromIncarnation: 0,
    toIncarnation: 0,
    serial: 0,
  };
  const answered = await probe(target.peerAddress, request, nothing);
  if (answered === undefined) {
    throw notSent(target.instanceId, 'The connection stands but brings no answers.');
  }
}
