import { errorText } from '../errors';
import type { GatewayRequest } from '../serving/types';
import { lostForward } from './forward-answer';
import { toCancelMessage } from './forward-message';
import type { ForwardTransport } from './forward-transport';

/** Time for a connection to a peer to stand; connecting between regions takes a few round trips. */
const READY_TIMEOUT_MS = 1_000;

/** Time for a connection to bring one small answer. */
const PROBE_TIMEOUT_MS = 500;

/** What proving needs to know of the target. */
export interface ProvenTarget {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly timeLeftMs: number;
}

/** Names no attempt, so that its cancellation changes nothing. */
const NO_ATTEMPT = { fromInstanceId: '', fromIncarnation: 0, toIncarnation: 0, serial: 0 };

/**
 * Makes sure that a connection stands before a request is written to it; one that can't be had proves that
 * nothing was sent. A kept connection may have gone silent, though, and look as good as ever until its next
 * keepalive. A call that may not be repeated would be lost on it with an unknown outcome, so such a call waits
 * for one answered message first: a round trip is the price of knowing.
 */
export async function proveConnection(
  transport: ForwardTransport,
  { instanceId, peerAddress, timeLeftMs }: ProvenTarget,
  request: GatewayRequest,
): Promise<void> {
  try {
    await transport.connect(peerAddress, Math.min(READY_TIMEOUT_MS, timeLeftMs));
  } catch (error) {
    const detail = `No connection: ${errorText(error)}.`;
    throw lostForward(instanceId, detail, { kind: 'neverSent' }, error);
  }
  if (request.guard?.idempotencyKey === undefined) return;
  const probe = toCancelMessage(request, NO_ATTEMPT);
  const answer = await transport.cancel(peerAddress, probe, PROBE_TIMEOUT_MS);
  if (answer === undefined) {
    const detail = 'The connection stands but brings no answers.';
    throw lostForward(instanceId, detail, { kind: 'neverSent' });
  }
}
