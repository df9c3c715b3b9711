import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

/** A client that sends one request on a connection of its own, and reads the answer byte by byte. */

export interface ClientRequest {
  readonly address: string;
  readonly method?: string;
  readonly path: string;
  readonly host: string;
  readonly id: string;
  readonly headers?: readonly string[];
  readonly body?: string | Buffer;
  readonly deadlineMs: number;
  /** How long the client waits for the end of the answer. */
  readonly waitMs?: number;
}

export interface ClientAnswer {
  /** Undefined if no status line arrived. */
  readonly status: number | undefined;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean;
  readonly how: 'complete' | 'closed' | 'reset' | 'timeout' | 'refused';
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

const HEAD_END = '\r\n\r\n';

interface Read {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly isComplete: boolean;
}

function readChunks(held: Buffer): { body: Buffer; isComplete: boolean } {
  const parts: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = held.indexOf('\r\n', at);
    if (lineEnd === -1) return { body: Buffer.concat(parts), isComplete: false };
    const size = parseInt(held.subarray(at, lineEnd).toString('latin1'), 16);
    const dataAt = lineEnd + 2;
    parts.push(held.subarray(dataAt, dataAt + size));
    if (held.length < dataAt + size + 2) return { body: Buffer.concat(parts), isComplete: false };
    if (size === 0) return { body: Buffer.concat(parts), isComplete: true };
    at = dataAt + size + 2;
  }
}

function read(held: Buffer, hasEnded: boolean): Read | undefined {
  const headEnd = held.indexOf(HEAD_END);
  if (headEnd === -1) return undefined;
  const [statusLine = '', ...lines] = held.subarray(0, headEnd).toString('latin1').split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const rest = held.subarray(headEnd + HEAD_END.length);
  if (headers.get('transfer-encoding') === 'chunked') {
    return { status, headers, ...readChunks(rest) };
  }
  const length = headers.get('content-length');
  if (length === undefined) return { status, headers, body: rest, isComplete: hasEnded };
  return {
    status,
    headers,
    body: rest.subarray(0, Number(length)),
    isComplete: rest.length >= Number(length),
  };
}

/** Returns the bytes of a request. */
export function requestBytes(request: Omit<ClientRequest, 'address' | 'waitMs'>): Buffer {
  const body = Buffer.from(request.body ?? '');
  const method = request.method ?? 'GET';
  const head = [
    `${method} ${request.path} HTTP/1.1`,
    `Host: ${request.host}`,
    `X-Request-Id: ${request.id}`,
    `X-Deadline-Ms: ${request.deadlineMs}`,
    ...(request.headers ?? []),
    ...(body.length > 0 || method === 'POST' ? [`Content-Length: ${body.length}`] : []),
    '',
    '',
  ].join('\r\n');
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

/** Sends a request and resolves with its answer, or with how it ended. Never rejects. */
export function send(
  request: ClientRequest,
  onSocket: (socket: Socket) => void = () => {},
): Promise<ClientAnswer> {
  const [host = '', port = ''] = request.address.split(':');
  const sentAtMs = Date.now();
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let held: Buffer = Buffer.alloc(0);
    let isConnected = false;
    let isOver = false;
    const finish = (how: ClientAnswer['how']): void => {
      if (isOver) return;
      isOver = true;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after it is set
      clearTimeout(timer);
      const answer = read(held, how === 'closed');
      const isComplete = answer?.isComplete === true;
      socket.destroy();
      resolve({
        status: answer?.status,
        headers: answer?.headers ?? new Map(),
        body: answer?.body ?? Buffer.alloc(0),
        isComplete,
        how: isComplete && how === 'closed' ? 'complete' : how,
        sentAtMs,
        endedAtMs: Date.now(),
      });
    };
    const timer = setTimeout(() => finish('timeout'), request.waitMs ?? request.deadlineMs);
    socket.setNoDelay(true);
    socket.on('connect', () => {
      isConnected = true;
      onSocket(socket);
      socket.write(requestBytes(request));
    });
    socket.on('data', (chunk: Buffer) => {
      held = Buffer.concat([held, chunk]);
      if (read(held, false)?.isComplete === true) finish('complete');
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', () => finish(isConnected ? 'reset' : 'refused'));
    socket.on('close', () => finish('closed'));
  });
}
