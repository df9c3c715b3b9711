import { createServer } from 'node:net';
import type { Socket } from 'node:net';

/** A stand-in for an engine, which reads requests as the pages describe them and answers as its script says. */

/** A request that an engine has read completely. */
export interface EngineRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly atMs: number;
}

export type EngineScript = (request: EngineRequest, socket: Socket) => void;

export interface Engine extends AsyncDisposable {
  readonly address: string;
  /** All complete requests in order, health checks included. */
  readonly received: EngineRequest[];
  script: EngineScript;
  /** Closes all connections and the listener, as a crash does. */
  crash(): Promise<void>;
}

const HEAD_END = '\r\n\r\n';

interface Parsed {
  readonly request: EngineRequest;
  readonly bytes: number;
}

function parseChunked(held: Buffer, from: number): { body: Buffer; end: number } | undefined {
  const parts: Buffer[] = [];
  let at = from;
  for (;;) {
    const lineEnd = held.indexOf('\r\n', at);
    if (lineEnd === -1) return undefined;
    const size = parseInt(held.subarray(at, lineEnd).toString('latin1'), 16);
    const dataAt = lineEnd + 2;
    if (held.length < dataAt + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), end: dataAt + 2 };
    parts.push(held.subarray(dataAt, dataAt + size));
    at = dataAt + size + 2;
  }
}

function parse(held: Buffer): Parsed | undefined {
  const headEnd = held.indexOf(HEAD_END);
  if (headEnd === -1) return undefined;
  const [requestLine = '', ...lines] = held.subarray(0, headEnd).toString('latin1').split('\r\n');
  const [method = '', path = ''] = requestLine.split(' ');
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const bodyAt = headEnd + HEAD_END.length;
  const atMs = Date.now();
  if (headers.get('transfer-encoding') === 'chunked') {
    const chunked = parseChunked(held, bodyAt);
    if (chunked === undefined) return undefined;
    return { request: { method, path, headers, body: chunked.body, atMs }, bytes: chunked.end };
  }
  const length = Number(headers.get('content-length') ?? 0);
  if (held.length < bodyAt + length) return undefined;
  const body = held.subarray(bodyAt, bodyAt + length);
  return { request: { method, path, headers, body, atMs }, bytes: bodyAt + length };
}

/** Opens an engine at a port of a loopback address; 0 takes a free one. */
export async function openEngine(
  host: string,
  port: number,
  script: EngineScript,
): Promise<Engine> {
  const sockets = new Set<Socket>();
  const received: EngineRequest[] = [];
  const engine = { script };
  const server = createServer((socket) => {
    let held: Buffer = Buffer.alloc(0);
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      held = Buffer.concat([held, chunk]);
      // Empty lines between requests are ignored.
      while (held.subarray(0, 2).toString('latin1') === '\r\n') held = held.subarray(2);
      for (let parsed = parse(held); parsed !== undefined; parsed = parse(held)) {
        held = held.subarray(parsed.bytes);
        received.push(parsed.request);
        engine.script(parsed.request, socket);
      }
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  const openPort = typeof address === 'object' && address !== null ? address.port : port;
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.resetAndDestroy();
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  };
  return {
    address: `${host}:${openPort}`,
    received,
    get script() {
      return engine.script;
    },
    set script(next) {
      engine.script = next;
    },
    crash: close,
    [Symbol.asyncDispose]: close,
  };
}

/** Returns a whole answer of an engine that has run the request. */
export function ranAnswer(
  { headers }: EngineRequest,
  body: string,
  { status = 200, extra = [] as readonly string[] } = {},
): string {
  return [
    `HTTP/1.1 ${status} X`,
    `X-Request-Id: ${headers.get('x-request-id') ?? ''}`,
    'X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1',
    'Content-Type: text/plain',
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...extra,
    '',
    body,
  ].join('\r\n');
}

/** Returns the answer of an engine that has not run the request. */
export function notRunAnswer({ headers }: EngineRequest, status = 503): string {
  return [
    `HTTP/1.1 ${status} X`,
    `X-Request-Id: ${headers.get('x-request-id') ?? ''}`,
    'X-Not-Executed: 1',
    'Content-Length: 0',
    '',
    '',
  ].join('\r\n');
}

/** Returns the answer to a health check. */
export function healthAnswer(id: string): string {
  return ['HTTP/1.1 200 OK', `X-Instance-Id: ${id}`, 'Content-Length: 0', '', ''].join('\r\n');
}
