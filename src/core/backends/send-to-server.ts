import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { errorText } from '../errors';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { evidenceAfterSending, evidenceOfFailure } from './evidence';
import { openFreshConnection } from './fresh-connection';
import { passAnswerOn } from './read-answer';

/** Sends requests to backend servers over kept connections; those with an idempotency key over fresh ones. */
export interface ServerSender extends AsyncDisposable {
  /** Sends `request` to the server once and passes its answer on; throws a `RefusalError` otherwise. */
  send(target: SendTarget, request: GatewayRequest, sink: ResponseSink): Promise<void>;
}

/** Where and until when. */
export interface SendTarget {
  readonly serverId: string;
  readonly address: string;
  /** Time left until the deadline, ms. */
  readonly timeLeftMs: number;
  /** Aborts when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Throws where the request may not be sent any more; asked last, once a connection stands where it is fresh. */
  readonly lastCheck: () => void;
}

/** Time for a TCP connection to be made; a server in the same region answers within a few ms. */
const CONNECT_TIMEOUT_MS = 1_000;

function hopHeaders({ headers, requestId, attempt, guard }: GatewayRequest): string[] {
  const lines = headers.flatMap(({ name, value }) => [name, value]);
  lines.push('x-request-id', requestId, 'x-attempt', String(attempt));
  if (guard?.idempotencyKey !== undefined) lines.push('idempotency-key', guard.idempotencyKey);
  return lines;
}

function toRefusal(error: unknown, serverId: string, evidence: Evidence): RefusalError {
  return new RefusalError(REFUSALS.serverFailed, {
    detail: errorText(error),
    step: 'send-to-server',
    peer: serverId,
    evidence,
    cause: error,
  });
}

/** A sender with its own pool of connections. */
export function createServerSender(): ServerSender {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });

  const exchange = async (
    dispatcher: Dispatcher,
    { serverId, address, timeLeftMs, signal }: SendTarget,
    request: GatewayRequest,
    sink: ResponseSink,
  ): Promise<void> => {
    const response = await dispatcher.request({
      origin: `http://${address}`,
      path: request.path,
      method: request.method,
      headers: hopHeaders(request),
      body: request.body.length === 0 ? null : request.body,
      signal,
      headersTimeout: Math.max(1, timeLeftMs),
      bodyTimeout: request.service.silenceTimeoutMs,
    });
    try {
      await passAnswerOn(response, request, sink, serverId);
    } finally {
      // A connection on which an answer was left unread, or delivered what was not asked, is closed.
      if (!response.body.readableEnded) response.body.on('error', () => {}).destroy();
    }
  };

  const sendFresh = async (
    target: SendTarget,
    request: GatewayRequest,
    sink: ResponseSink,
  ): Promise<void> => {
    const { guard } = request;
    const fresh = openFreshConnection(`http://${target.address}`, CONNECT_TIMEOUT_MS, () => {
      target.lastCheck();
      guard?.beginSend();
    });
    try {
      await exchange(fresh.client, target, request, sink);
    } catch (error) {
      if (!fresh.handedOver) {
        if (error instanceof RefusalError) throw error;
        throw toRefusal(error, target.serverId, { kind: 'neverSent' });
      }
      const refusal =
        error instanceof RefusalError
          ? error
          : toRefusal(error, target.serverId, evidenceAfterSending(error));
      guard?.sendFailed(refusal.evidence);
      throw refusal;
    } finally {
      void fresh.client.destroy();
    }
  };

  const sendKept = async (
    target: SendTarget,
    request: GatewayRequest,
    sink: ResponseSink,
  ): Promise<void> => {
    target.lastCheck();
    request.guard?.beginSend();
    try {
      await exchange(agent, target, request, sink);
    } catch (error) {
      const refusal =
        error instanceof RefusalError
          ? error
          : toRefusal(error, target.serverId, evidenceOfFailure(error));
      request.guard?.sendFailed(refusal.evidence);
      throw refusal;
    }
  };

  return {
    send: (target, request, sink) =>
      request.guard?.idempotencyKey === undefined
        ? sendKept(target, request, sink)
        : sendFresh(target, request, sink),
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
