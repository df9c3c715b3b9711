import type { ClientReadableStream, Metadata } from '@grpc/grpc-js';
import { status as grpcStatus } from '@grpc/grpc-js';
import type { CancelRequest, ForwardEvent, ForwardRequest } from '../../gen/forward_pb';
import type { Clock } from '../clock';
import { PEER_SERVICE } from './definition';
import type { PeerConnections } from './peer-connections';

/** One forwarded attempt on its way: its events in order, until it ends or fails. */
export interface ForwardCall extends AsyncIterable<ForwardEvent> {
  /** Gives the call up; nothing more is delivered. */
  cancel(): void;
}

/** How forwarding reaches other instances. */
export interface ForwardTransport {
  /** Resolves once a connection stands; rejects when none is to be had within `timeoutMs`. */
  connect(peerAddress: string, timeoutMs: number): Promise<void>;
  forward(peerAddress: string, message: ForwardRequest, timeoutMs: number): ForwardCall;
  /** Resolves to the peer's answer, or to undefined when none came within `timeoutMs`; never rejects. */
  cancel(
    peerAddress: string,
    message: CancelRequest,
    timeoutMs: number,
  ): Promise<boolean | undefined>;
  /** Whether an error of `forward` says that its time was up. */
  isTimeout(error: unknown): boolean;
}

/** Forwarding over gRPC. */
export function createForwardTransport(
  clock: Clock,
  connections: PeerConnections,
  metadata: Metadata,
): ForwardTransport {
  const deadlineIn = (timeoutMs: number) => clock.unixMs() + timeoutMs;
  return {
    connect: (peerAddress, timeoutMs) =>
      new Promise((resolve, reject) => {
        connections.to(peerAddress).waitForReady(deadlineIn(timeoutMs), (error) => {
          if (error === undefined) resolve();
          else reject(error);
        });
      }),
    forward(peerAddress, message, timeoutMs) {
      const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.forward;
      const call: ClientReadableStream<ForwardEvent> = connections
        .to(peerAddress)
        .makeServerStreamRequest(path, requestSerialize, responseDeserialize, message, metadata, {
          deadline: deadlineIn(timeoutMs),
        });
      return call;
    },
    cancel: (peerAddress, message, timeoutMs) =>
      new Promise((resolve) => {
        const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.cancel;
        connections
          .to(peerAddress)
          .makeUnaryRequest(
            path,
            requestSerialize,
            responseDeserialize,
            message,
            metadata,
            { deadline: deadlineIn(timeoutMs) },
            (error, response) => resolve(error === null ? response?.neverSent : undefined),
          );
      }),
    isTimeout: (error) =>
      error instanceof Error && 'code' in error && error.code === grpcStatus.DEADLINE_EXCEEDED,
  };
}
