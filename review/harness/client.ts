import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import type { Gateway } from './gateways';

/** What a client got for one attempt. */
export interface Answer {
  /** Status; undefined if no head of an answer arrived. */
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived whole. */
  readonly isComplete: boolean;
}

/** One attempt of a client. */
export interface Attempt {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /** Connections that are kept; a new connection for each attempt without it. */
  readonly agent?: Agent;
}

/** Keeps connections open for many requests. */
export function keepConnections(maxSockets = Infinity): Agent {
  return new Agent({ keepAlive: true, maxSockets });
}

/** Sends one attempt to a machine, and resolves with what arrived by the deadline. */
export function ask(gateway: Gateway, attempt: Attempt): Promise<Answer> {
  const { requestId, method, path, deadlineMs, body } = attempt;
  return new Promise((resolve) => {
    const sent = httpRequest(
      {
        host: gateway.host,
        port: gateway.frontPort,
        method,
        path,
        agent: attempt.agent ?? false,
        headers: {
          host: attempt.host,
          'x-request-id': requestId,
          'x-deadline-ms': String(deadlineMs),
          ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
          ...attempt.headers,
        },
      },
      (incoming) => {
        let text = '';
        incoming.setEncoding('utf8');
        incoming.on('data', (chunk: string) => {
          text += chunk;
        });
        incoming.on('error', () => {});
        incoming.on('close', () =>
          resolve({
            status: incoming.statusCode,
            headers: incoming.headers,
            body: text,
            isComplete: incoming.complete,
          }),
        );
      },
    );
    const nothing: Answer = { status: undefined, headers: {}, body: '', isComplete: false };
    sent.setTimeout(deadlineMs + 1_000, () => sent.destroy());
    sent.on('error', () => resolve(nothing));
    sent.end(body);
  });
}
