import type { Metadata, MethodDefinition } from '@grpc/grpc-js';
import type { Clock } from '../clock';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { PeerConnections } from './peer-connections';

/** What calls to peers need. */
export interface PeerCallOptions {
  readonly clock: Clock;
  readonly connections: PeerConnections;
  readonly metadata: Metadata;
}

/** One unary call. */
export interface PeerCall<Input, Output> {
  readonly method: MethodDefinition<Input, Output>;
  readonly step: string;
  readonly peerAddress: string;
  readonly message: Input;
  readonly timeoutMs: number;
}

/** Makes a unary call; rejects with `PeerUnavailable` when no answer comes in time. */
export function callPeer<Input, Output>(
  { clock, connections, metadata }: PeerCallOptions,
  { method, step, peerAddress, message, timeoutMs }: PeerCall<Input, Output>,
): Promise<Output> {
  return new Promise((resolve, reject) => {
    connections
      .to(peerAddress)
      .makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        message,
        metadata,
        { deadline: clock.unixMs() + timeoutMs },
        (error, response) => {
          if (error === null && response !== undefined) {
            resolve(response);
            return;
          }
          const reason = error === null ? 'empty answer' : errorText(error);
          const place = { step, peer: peerAddress };
          reject(gatewayError(ERRORS.peerUnavailable, [reason], place, error));
        },
      );
  });
}
