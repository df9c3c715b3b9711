import { create } from '@bufbuild/protobuf';
import { CancelRequestSchema, ForwardRequestSchema } from '../../gen/forward_pb';
import type { CancelRequest, ForwardRequest } from '../../gen/forward_pb';
import type { GatewayRequest } from '../serving/types';
import type { AttemptId } from './forward-ledger';

/** The messages of forwarding, to and from what the rest of the code uses. */

/** What a message adds to its request. */
export interface ForwardEnvelope {
  readonly attemptId: AttemptId;
  readonly timeLeftMs: number;
  /** A ticket of the receiver's own. */
  readonly ticket: string | undefined;
}

/** The message that hands a request over. */
export function toForwardMessage(request: GatewayRequest, envelope: ForwardEnvelope) {
  const { attemptId, timeLeftMs, ticket } = envelope;
  return create(ForwardRequestSchema, {
    requestId: request.requestId,
    attempt: request.attempt,
    fromInstanceId: attemptId.fromInstanceId,
    fromIncarnation: BigInt(attemptId.fromIncarnation),
    toIncarnation: BigInt(attemptId.toIncarnation),
    serial: BigInt(attemptId.serial),
    callerId: request.caller.id,
    service: request.service.name,
    method: request.method,
    path: request.path,
    headers: request.headers.map((header) => ({ ...header })),
    body: request.body,
    timeLeftMs: Math.max(1, Math.floor(timeLeftMs)),
    configurationVersion: BigInt(request.configuration.version),
    idempotencyKey: request.guard?.idempotencyKey ?? '',
    ticket: ticket ?? '',
  });
}

/** The message that gives an attempt up. */
export function toCancelMessage(request: GatewayRequest, id: AttemptId): CancelRequest {
  return create(CancelRequestSchema, {
    requestId: request.requestId,
    attempt: request.attempt,
    fromInstanceId: id.fromInstanceId,
    fromIncarnation: BigInt(id.fromIncarnation),
    toIncarnation: BigInt(id.toIncarnation),
    serial: BigInt(id.serial),
  });
}

/** Which attempt a message is about. */
export function attemptIdOf(message: ForwardRequest | CancelRequest): AttemptId {
  return {
    fromInstanceId: message.fromInstanceId,
    fromIncarnation: Number(message.fromIncarnation),
    toIncarnation: Number(message.toIncarnation),
    serial: Number(message.serial),
  };
}
