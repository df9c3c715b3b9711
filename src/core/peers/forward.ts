import { create } from '@bufbuild/protobuf';
import type { ClientReadableStream, Metadata } from '@grpc/grpc-js';
import { status as grpcStatus } from '@grpc/grpc-js';
import { ForwardRequestSchema } from '../../gen/forward_pb';
import type { ForwardEvent, ForwardRefusal } from '../../gen/forward_pb';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError, refusalBySlug } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { PEER_SERVICE } from './definition';
import type { PeerConnections } from './peer-connections';

/** Where a request is forwarded and until when. */
export interface ForwardTarget {
  readonly instanceId: string;
  readonly peerAddress: string;
  readonly timeLeftMs: number;
  readonly signal: AbortSignal;
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
}

function toMessage(request: GatewayRequest, target: ForwardTarget, instanceId: string) {
  return create(ForwardRequestSchema, {
    requestId: request.requestId,
    attempt: request.attempt,
    fromInstanceId: instanceId,
    callerId: request.caller.id,
    service: request.service.name,
    method: request.method,
    path: request.path,
    headers: request.headers.map((header) => ({ ...header })),
    body: request.body,
    timeLeftMs: target.timeLeftMs,
    configurationVersion: BigInt(request.configuration.version),
  });
}

function peerRefusal(refusal: ForwardRefusal, peer: string): RefusalError {
  const definition = refusalBySlug(refusal.refusal) ?? REFUSALS.peerFailed;
  const retryAtUnixMs = Number(refusal.retryAtUnixMs);
  return new RefusalError(definition, {
    detail: refusal.detail,
    step: 'forward',
    peer,
    evidence: { kind: 'refusedByPeer', vouches: refusal.notRun },
    ...(retryAtUnixMs === 0 ? {} : { retryAtUnixMs }),
  });
}

function lost(peer: string, detail: string, evidence: Evidence, cause?: unknown): RefusalError {
  return new RefusalError(REFUSALS.peerFailed, { detail, step: 'forward', peer, evidence, cause });
}

/** Passes on one event; true once the answer is whole. */
async function passOn(
  { event, requestId, attempt }: ForwardEvent,
  request: GatewayRequest,
  sink: ResponseSink,
  peer: string,
): Promise<boolean> {
  if (requestId !== request.requestId || attempt !== request.attempt) {
    const detail = 'The answer belongs to another request.';
    throw lost(peer, detail, { kind: 'lostAfterSending', cause: 'malformed' });
  }
  switch (event.case) {
    case 'head':
      sink.sendHead({ status: event.value.status, headers: event.value.headers });
      return false;
    case 'chunk':
      await sink.sendChunk(event.value);
      return false;
    case 'end':
      sink.end();
      return true;
    case 'refusal':
      throw peerRefusal(event.value, peer);
    case undefined:
      throw lost(peer, 'Empty event.', { kind: 'lostAfterSending', cause: 'malformed' });
    default:
      return event satisfies never;
  }
}

/** Forwarding over gRPC. */
export function createPeerForwarder(options: ForwarderOptions): PeerForwarder {
  const { clock, connections, metadata, instanceId } = options;

  const open = (target: ForwardTarget, request: GatewayRequest) => {
    const { path, requestSerialize, responseDeserialize } = PEER_SERVICE.forward;
    return connections
      .to(target.peerAddress)
      .makeServerStreamRequest(
        path,
        requestSerialize,
        responseDeserialize,
        toMessage(request, target, instanceId),
        metadata,
        { deadline: clock.unixMs() + target.timeLeftMs },
      );
  };

  return {
    async forward(target, request, sink) {
      const peer = target.instanceId;
      const call: ClientReadableStream<ForwardEvent> = open(target, request);
      const cancel = () => call.cancel();
      target.signal.addEventListener('abort', cancel, { once: true });
      try {
        for await (const event of call) {
          if (await passOn(event as ForwardEvent, request, sink, peer)) return;
        }
        throw lost(peer, 'The answer ended early.', {
          kind: 'lostAfterSending',
          cause: 'peerFellSilent',
        });
      } catch (error) {
        if (error instanceof RefusalError) throw error;
        const isLate =
          error instanceof Error && 'code' in error && error.code === grpcStatus.DEADLINE_EXCEEDED;
        throw lost(
          peer,
          errorText(error),
          { kind: 'lostAfterSending', cause: isLate ? 'timeout' : 'peerFellSilent' },
          error,
        );
      } finally {
        target.signal.removeEventListener('abort', cancel);
        call.cancel();
      }
    },
  };
}
