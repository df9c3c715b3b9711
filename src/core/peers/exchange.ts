import { ERRORS, gatewayError } from '../errors';
import type { MembershipTransport } from '../membership';
import { callPeer } from './call-peer';
import type { PeerCallOptions } from './call-peer';
import { PEER_SERVICE } from './definition';
import { fromWireMessage, toWireMessage } from './exchange-messages';

/** Longest wait for a peer's answer to an exchange: several round trips between the farthest regions. */
const EXCHANGE_TIMEOUT_MS = 1_000;

/** Membership's exchanges over gRPC. */
export function createExchangeTransport(options: PeerCallOptions): MembershipTransport {
  return {
    async exchange(peerAddress, message) {
      const place = { step: 'exchange', peer: peerAddress };
      const answer = await callPeer(options, {
        ...place,
        method: PEER_SERVICE.exchange,
        peerAddress,
        message: toWireMessage(message),
        timeoutMs: EXCHANGE_TIMEOUT_MS,
      });
      const read = fromWireMessage(answer);
      if (read !== undefined) return read;
      throw gatewayError(ERRORS.peerUnavailable, ['the answer names no sender'], place);
    },
  };
}
