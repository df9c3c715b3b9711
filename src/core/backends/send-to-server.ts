import { Agent } from 'undici';
import { errorText } from '../errors';
import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, Header, ResponseSink } from '../serving/types';

/** Sends requests to backend servers over kept connections. */
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
}

/** Time for a TCP connection to be made; a server in the same region answers within a few ms. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Errors that come before any byte of a request can have left. */
const NEVER_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a header is passed between a server and a caller. */
export function isEndToEndHeader(name: string): boolean {
  return !CONNECTION_HEADERS.has(name.toLowerCase());
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** What a failed attempt proves. */
export function evidenceOfFailure(error: unknown): Evidence {
  const code = errorCode(error);
  if (NEVER_CONNECTED_CODES.has(code)) return { kind: 'neverSent' };
  const isTimeout = code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT';
  return { kind: 'lostAfterSending', cause: isTimeout ? 'timeout' : 'reset' };
}

function toHeaders(raw: Record<string, string | string[] | undefined>): Header[] {
  return Object.entries(raw)
    .filter(([name]) => isEndToEndHeader(name))
    .flatMap(([name, value]) =>
      (Array.isArray(value) ? value : [value]).map((one) => ({ name, value: one ?? '' })),
    );
}

/** A sender with its own pool of connections. */
export function createServerSender(): ServerSender {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });

  return {
    async send(target, request, sink) {
      try {
        const response = await agent.request({
          origin: `http://${target.address}`,
          path: request.path,
          method: request.method,
          headers: [
            ...request.headers.flatMap(({ name, value }) => [name, value]),
            'x-request-id',
            request.requestId,
          ],
          body: request.body.length === 0 ? null : request.body,
          signal: target.signal,
          headersTimeout: Math.max(1, target.timeLeftMs),
          bodyTimeout: request.service.silenceTimeoutMs,
        });
        sink.sendHead({ status: response.statusCode, headers: toHeaders(response.headers) });
        for await (const chunk of response.body) await sink.sendChunk(chunk as Uint8Array);
        sink.end();
      } catch (error) {
        throw new RefusalError(REFUSALS.serverFailed, {
          detail: errorText(error),
          step: 'send-to-server',
          peer: target.serverId,
          evidence: evidenceOfFailure(error),
          cause: error,
        });
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
