import { errorText } from '../errors';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { createForwardAnswer, lostForward } from './forward-answer';
import type { AttemptId } from './forward-ledger';
import { toCancelMessage, toForwardMessage } from './forward-message';
import type { ForwardCall, ForwardTransport } from './forward-transport';
import { proveConnection } from './prove-connection';

/** Where a request is forwarded and until when. */
export interface ForwardTarget {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly timeLeftMs: number;
  readonly signal: AbortSignal;
  /** Throws where the data may not go there any more; asked once the connection stands. */
  readonly lastCheck: () => void;
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
  readonly transport: ForwardTransport;
  readonly nowMs: () => number;
  readonly instanceId: string;
  readonly incarnation: number;
  /** The process that an instance is known to run; undefined for one that is not known. */
  readonly incarnationOf: (instanceId: string) => number | undefined;
}

/** Longest wait for a peer to say whether it has sent an attempt: a few round trips between regions. */
const CANCEL_TIMEOUT_MS = 500;

/** Forwards each attempt once, and settles with the peer what became of one that was lost. */
export function createPeerForwarder(options: ForwarderOptions): PeerForwarder {
  const { transport, nowMs, instanceId, incarnation, incarnationOf } = options;
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

  const receive = async (
    call: ForwardCall,
    request: GatewayRequest,
    sink: ResponseSink,
    peer: string,
  ): Promise<void> => {
    const answer = createForwardAnswer(request, sink, peer);
    for await (const event of call) {
      if (await answer.take(event)) return;
    }
    const evidence = { kind: 'lostAfterSending', cause: 'peerFellSilent' } as const;
    throw lostForward(peer, 'The answer ended early.', evidence);
  };

  const asRefusal = (error: unknown, peer: string): RefusalError => {
    if (error instanceof RefusalError) return error;
    const cause = transport.isTimeout(error) ? 'timeout' : 'peerFellSilent';
    return lostForward(peer, errorText(error), { kind: 'lostAfterSending', cause }, error);
  };

  /** Asks the peer about a lost attempt; only what it says itself turns the loss into `notRun`. */
  const settle = async (
    refusal: RefusalError,
    target: ForwardTarget,
    request: GatewayRequest,
    attemptId: AttemptId,
  ): Promise<RefusalError> => {
    if (refusal.evidence.kind !== 'lostAfterSending' || target.ticket !== undefined) return refusal;
    const message = toCancelMessage(request, attemptId);
    const asked = transport.cancel(target.peerAddress, message, CANCEL_TIMEOUT_MS);
    // Waiting is worth while only where the outcome decides whether the caller may send the call again.
    if (request.guard?.idempotencyKey === undefined || target.signal.aborted) return refusal;
    if ((await asked) !== true) return refusal;
    const evidence = { kind: 'refusedByPeer', vouches: true } as const;
    return lostForward(target.instanceId, refusal.message, evidence, refusal);
  };

  /** Judged again once the connection stands: the process may have slept while it was being made. */
  const timeLeft = (target: ForwardTarget, request: GatewayRequest): number => {
    const leftMs = Math.floor(request.deadlineAtMs - nowMs());
    if (leftMs > 0) return Math.min(leftMs, target.timeLeftMs);
    throw new RefusalError(REFUSALS.deadlineExceeded, {
      detail: 'The deadline passed before the request was forwarded.',
      step: 'forward',
      peer: target.instanceId,
      evidence: { kind: 'neverSent' },
    });
  };

  return {
    async forward(target, request, sink) {
      const { instanceId: peer, peerAddress, ticket, signal } = target;
      const guard = ticket === undefined ? request.guard : undefined;
      await proveConnection(transport, target, request);
      const timeLeftMs = timeLeft(target, request);
      target.lastCheck();
      guard?.beginSend();
      const attemptId = nextAttemptId(peer);
      const message = toForwardMessage(request, { attemptId, timeLeftMs, ticket });
      const call = transport.forward(peerAddress, message, timeLeftMs);
      const cancel = () => call.cancel();
      signal.addEventListener('abort', cancel, { once: true });
      try {
        await receive(call, request, sink, peer);
      } catch (error) {
        call.cancel();
        const lost = asRefusal(error, peer);
        const refusal = sink.headSent ? lost : await settle(lost, target, request, attemptId);
        guard?.sendFailed(refusal.evidence);
        throw refusal;
      } finally {
        signal.removeEventListener('abort', cancel);
        call.cancel();
      }
    },
  };
}
