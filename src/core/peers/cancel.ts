import type { Metadata } from '@grpc/grpc-js';
import type { Clock } from '../clock';
import type { GatewayRequest } from '../serving/types';
import { PEER_SERVICE } from './definition';
import type { AttemptId } from './forward-ledger';
import { toCancelMessage } from './forward-message';
import type { PeerConnections } from './peer-connections';

/** Longest wait for a peer to say whether it has sent an attempt: a few round trips between regions. */
const CANCEL_TIMEOUT_MS = 500;

/** Tells a peer that an attempt is given up; undefined when no answer came. */
export type AttemptCanceller = (
  peerAddress: string,
  request: GatewayRequest,
  id: AttemptId,
) => Promise<boolean | undefined>;

/** Resolves to true if the peer vouches that nothing was sent and nothing will be; never rejects. */
export function createCanceller(
  clock: Clock,
  connections: PeerConnections,
  metadata: Metadata,
): AttemptCanceller {
  const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.cancel;
  return (peerAddress, request, id) =>
    new Promise((resolve) => {
      connections
        .to(peerAddress)
        .makeUnaryRequest(
          path,
          requestSerialize,
          responseDeserialize,
          toCancelMessage(request, id),
          metadata,
          { deadline: clock.unixMs() + CANCEL_TIMEOUT_MS },
          (error, response) => resolve(error === null ? response?.neverSent : undefined),
        );
    });
}
