import type { ClientReadableStream, Metadata } from '@grpc/grpc-js';
import { status as grpcStatus } from '@grpc/grpc-js';
import type { ForwardEvent } from '../../gen/forward_pb';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import { RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { createCanceller } from './cancel';
import { PEER_SERVICE } from './definition';
import { createForwardAnswer, lostForward } from './forward-answer';
import type { AttemptId } from './forward-ledger';
import { toForwardMessage } from './forward-message';
import type { PeerConnections } from './peer-connections';
import { proveConnection } from './prove-connection';

/** Where a request is forwarded and until when. */
export interface ForwardTarget {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly timeLeftMs: number;
  readonly signal: AbortSignal;
  /** A ticket of the target's own, which it redeems; the target is then the only one that may run the call. */
  readonly ticket?: string;
}

/** Hands requests to instances of other regions. */
export interface PeerForwarder {
  /** Passes the peer's answer to `sink`, or throws a `RefusalError`. */
  forward(target: ForwardTarget, request: GatewayRequest, sink: ResponseSink): Promise<void>;
}

/** What forwarding needs. */
export interface ForwarderOptions {
  readonly clock: Clock;
  readonly connections: PeerConnections;
  readonly metadata: Metadata;
  readonly instanceId: string;
  readonly incarnation: number;
  /** The process that an instance is known to run; undefined for one that is not known. */
  readonly incarnationOf: (instanceId: string) => number | undefined;
}

/** Forwarding over gRPC. */
export function createPeerForwarder(options: ForwarderOptions): PeerForwarder {
  const { clock, connections, metadata, instanceId, incarnation, incarnationOf } = options;
  const cancelAttempt = createCanceller(clock, connections, metadata);
  const serials = new Map<string, number>();

  const nextAttemptId = (peer: string): AttemptId => {
    const serial = (serials.get(peer) ?? 0) + 1;
    serials.set(peer, serial);
    return {
      fromInstanceId: instanceId,
      fromIncarnation: incarnation,
      toIncarnation: incarnationOf(peer) ?? 0,
      serial,
    };
  };

  const open = (target: ForwardTarget, request: GatewayRequest, attemptId: AttemptId) => {
    const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.forward;
    const { timeLeftMs, ticket } = target;
    return connections
      .to(target.peerAddress)
      .makeServerStreamRequest(
        path,
        requestSerialize,
        responseDeserialize,
        toForwardMessage(request, { attemptId, timeLeftMs, ticket }),
        metadata,
        { deadline: clock.unixMs() + timeLeftMs },
      );
  };

  const receive = async (
    call: ClientReadableStream<ForwardEvent>,
    request: GatewayRequest,
    sink: ResponseSink,
    peer: string,
  ): Promise<void> => {
    const answer = createForwardAnswer(request, sink, peer);
    for await (const event of call) {
      if (await answer.take(event as ForwardEvent)) return;
    }
    const evidence = { kind: 'lostAfterSending', cause: 'peerFellSilent' } as const;
    throw lostForward(peer, 'The answer ended early.', evidence);
  };

  const asRefusal = (error: unknown, peer: string): RefusalError => {
    if (error instanceof RefusalError) return error;
    const isLate =
      error instanceof Error && 'code' in error && error.code === grpcStatus.DEADLINE_EXCEEDED;
    const cause = isLate ? 'timeout' : 'peerFellSilent';
    return lostForward(peer, errorText(error), { kind: 'lostAfterSending', cause }, error);
  };

  /** Asks the peer about a lost attempt; only its own word turns the loss into `notRun`. */
  const settle = async (
    refusal: RefusalError,
    target: ForwardTarget,
    request: GatewayRequest,
    attemptId: AttemptId,
  ): Promise<RefusalError> => {
    if (refusal.evidence.kind !== 'lostAfterSending' || target.ticket !== undefined) return refusal;
    const asked = cancelAttempt(target.peerAddress, request, attemptId);
    // Waiting is worth while only where the outcome decides whether the caller may send the call again.
    if (request.guard?.idempotencyKey === undefined || target.signal.aborted) return refusal;
    if ((await asked) !== true) return refusal;
    const evidence = { kind: 'refusedByPeer', vouches: true } as const;
    return lostForward(target.instanceId, refusal.message, evidence, refusal);
  };

  return {
    async forward(target, request, sink) {
      const peer = target.instanceId;
      const guard = target.ticket === undefined ? request.guard : undefined;
      await proveConnection(connections, clock, target, request, cancelAttempt);
      guard?.beginSend();
      const attemptId = nextAttemptId(peer);
      const call: ClientReadableStream<ForwardEvent> = open(target, request, attemptId);
      const cancel = () => call.cancel();
      target.signal.addEventListener('abort', cancel, { once: true });
      try {
        await receive(call, request, sink, peer);
      } catch (error) {
        call.cancel();
        const lost = asRefusal(error, peer);
        const refusal = sink.headSent ? lost : await settle(lost, target, request, attemptId);
        guard?.sendFailed(refusal.evidence);
        throw refusal;
      } finally {
        target.signal.removeEventListener('abort', cancel);
        call.cancel();
      }
    },
  };
}
