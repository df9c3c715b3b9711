import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A request as a stand-in server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  /** By name in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Answers one request by writing to the socket; the bytes need not be a well-formed answer. */
export type ServerScript = (request: ReceivedRequest, socket: Socket) => void;

/** A stand-in backend server that answers with the bytes that a test chooses. */
export interface AnnouncedServer extends AsyncDisposable {
  readonly address: string;
  /** Requests that were received completely, in order of arrival. */
  readonly received: ReceivedRequest[];
  script: ServerScript;
  openConnections(): number;
}

const HEAD_END = '\r\n\r\n';

function parseHead(text: string): Omit<ReceivedRequest, 'body'> {
  const [requestLine = '', ...lines] = text.split('\r\n');
  const [method = '', path = ''] = requestLine.split(' ');
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colonAt = line.indexOf(':');
      return [line.slice(0, colonAt).toLowerCase(), line.slice(colonAt + 1).trim()];
    }),
  );
  return { method, path, headers };
}

/** Returns a complete answer with the signature header. */
export function wholeAnswer(
  request: ReceivedRequest,
  body: string,
  options: { status?: number; type?: string; id?: string } = {},
): string {
  const id = options.id ?? request.headers.get('x-request-id') ?? '';
  return [
    `HTTP/1.1 ${options.status ?? 200} X`,
    `X-Request-Id: ${id}`,
    'X-Response-Signature: signed',
    `Content-Type: ${options.type ?? 'text/plain'}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}

/** Returns the head of an event stream with the signature header, whose body is sent in chunks. */
export function streamHead(request: ReceivedRequest): string {
  return [
    'HTTP/1.1 200 OK',
    `X-Request-Id: ${request.headers.get('x-request-id') ?? ''}`,
    'X-Response-Signature: signed',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    HEAD_END.slice(2),
  ].join('\r\n');
}

/** Adds header lines to the head of an answer. */
export function withHeaders(head: string, headers: readonly string[]): string {
  return head.replace('\r\n', `\r\n${headers.map((header) => `${header}\r\n`).join('')}`);
}

/** Returns one chunk of a chunked body; an empty chunk ends the body. */
export function chunkOf(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Opens a stand-in backend server on a free port. */
export async function openAnnouncedServer(script: ServerScript): Promise<AnnouncedServer> {
  const sockets = new Set<Socket>();
  const received: ReceivedRequest[] = [];
  const standIn = { script };

  const serve = (socket: Socket): void => {
    let held = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      held += chunk.toString('latin1');
      for (;;) {
        const headEndAt = held.indexOf(HEAD_END);
        if (headEndAt === -1) return;
        const head = parseHead(held.slice(0, headEndAt));
        const bodyBytes = Number(head.headers.get('content-length') ?? 0);
        const bodyAt = headEndAt + HEAD_END.length;
        if (held.length < bodyAt + bodyBytes) return;
        const request = { ...head, body: held.slice(bodyAt, bodyAt + bodyBytes) };
        held = held.slice(bodyAt + bodyBytes);
        received.push(request);
        standIn.script(request, socket);
      }
    });
  };

  const server = createServer(serve);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    address,
    received,
    get script() {
      return standIn.script;
    },
    set script(next) {
      standIn.script = next;
    },
    openConnections: () => sockets.size,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
