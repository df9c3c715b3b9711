import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setInterval, setTimeout } from 'node:timers';
import type { Store } from './store';

/** A request as an engine has read it. */
export interface EngineRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
}

/** A request in progress at an engine. */
export interface Run {
  readonly engineId: string;
  readonly request: EngineRequest;
  readonly connection: Connection;
  /** Ends the run without an answer. */
  end(): void;
}

/** One connection of a machine to an engine. */
export interface Connection {
  readonly socket: Socket;
  /** Has the engine send an answer to an earlier request once more, where the next answer is expected. */
  sendAgain(answer: string): void;
  /** Returns the answer to send once more, if there is one, and forgets it. */
  takeExtraAnswer(): string | undefined;
}

/** Options of an engine. */
export interface EngineOptions {
  readonly id: string;
  readonly host: string;
  /** Port of an engine that starts again; a free one without it. */
  readonly port?: number;
  readonly zone: string;
  readonly service: string;
  readonly slots: number;
  /** Requests that wait for a slot; more are rejected. */
  readonly queue: number;
  readonly heartbeatMs: number;
  /** Answers a request that has got a slot; calls `run.end` once it has ended. */
  readonly onRun: (run: Run) => void;
  /** Called for each request that the engine rejects, with its answer. */
  readonly onRejected?: (connection: Connection, answer: string) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** An engine that announces itself in the store and runs requests. */
export interface Engine {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  running(): number;
  close(): void;
  /** Ends as in a crash: all connections are reset, and the entry is removed after three heartbeats of silence. */
  crash(): void;
}

const SILENT_HEARTBEATS = 3;
const HEAD_END = '\r\n\r\n';

interface Head {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
}

function parseHead(text: string): Head {
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

/** Returns an answer with a stated length. */
export function answerText(
  status: string,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const lines = Object.entries({ ...headers, 'Content-Length': String(Buffer.byteLength(body)) });
  return `HTTP/1.1 ${status}\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`;
}

/** Returns the complete answer of a successful run. */
export function successText({ engineId, request }: Run, body: string): string {
  const headers = {
    'X-Request-Id': request.requestId,
    'X-Response-Signature': `signed-by-${engineId}`,
    'Content-Type': 'text/plain',
  };
  return answerText('200 OK', headers, body);
}

/** Opens an engine on a free port, and announces it. */
export async function openEngine(options: EngineOptions, store: Store): Promise<Engine> {
  const { id, slots, queue, log } = options;
  const sockets = new Set<Socket>();
  const waiting: (() => void)[] = [];
  let running = 0;
  let sequence = 0;

  const loadHeader = () => `${running},${waiting.length},${slots}`;

  const startNext = (): void => {
    if (running < slots) waiting.shift()?.();
  };

  const reject = (
    connection: Connection,
    { requestId }: EngineRequest,
    status: string,
    proceed: () => void,
  ): void => {
    const answer = answerText(
      status,
      {
        'X-Request-Id': requestId,
        'X-Not-Executed': '1',
        'X-Instance-Id': id,
        'X-Server-Load': loadHeader(),
      },
      '',
    );
    log('rejected', { engine: id, requestId, status });
    connection.socket.write(answer);
    options.onRejected?.(connection, answer);
    proceed();
  };

  const serve = (connection: Connection, request: EngineRequest, proceed: () => void): void => {
    const { socket } = connection;
    const target = request.headers.get('x-target-instance');
    if (target !== undefined && target !== id) {
      reject(connection, request, '421 Misdirected Request', proceed);
      return;
    }
    if (request.path === '/health') {
      const headers = { 'X-Instance-Id': id, 'X-Server-Load': loadHeader() };
      socket.write(answerText('200 OK', headers, ''));
      proceed();
      return;
    }
    if (request.requestId === '') {
      reject(connection, request, '400 Bad Request', proceed);
      return;
    }
    if (running >= slots && waiting.length >= queue) {
      reject(connection, request, '503 Service Unavailable', proceed);
      return;
    }
    const begin = (): void => {
      if (socket.destroyed) {
        startNext();
        return;
      }
      running += 1;
      let hasEnded = false;
      log('runs', { engine: id, requestId: request.requestId, path: request.path });
      const extraAnswer = connection.takeExtraAnswer();
      if (extraAnswer !== undefined) {
        log('sends an extra answer', { engine: id, before: request.requestId });
        socket.write(extraAnswer);
      }
      const end = (): void => {
        if (hasEnded) return;
        hasEnded = true;
        running -= 1;
        proceed();
        startNext();
      };
      options.onRun({ engineId: id, request, connection, end });
    };
    if (running < slots) begin();
    else waiting.push(begin);
  };

  const accept = (socket: Socket): void => {
    let extraAnswer: string | undefined;
    const connection: Connection = {
      socket,
      sendAgain(answer) {
        extraAnswer = answer;
      },
      takeExtraAnswer() {
        const taken = extraAnswer;
        extraAnswer = undefined;
        return taken;
      },
    };
    let held: Buffer = Buffer.alloc(0);
    let isBusy = false;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    const readNext = (): void => {
      if (isBusy) return;
      // Empty lines between requests are ignored.
      while (held.length > 1 && held[0] === 13 && held[1] === 10) held = held.subarray(2);
      const headEndAt = held.indexOf(HEAD_END);
      if (headEndAt === -1) return;
      const head = parseHead(held.subarray(0, headEndAt).toString('latin1'));
      const bodyAt = headEndAt + HEAD_END.length;
      const bodyBytes = Number(head.headers.get('content-length') ?? 0);
      if (held.length < bodyAt + bodyBytes) return;
      const body = Buffer.from(held.subarray(bodyAt, bodyAt + bodyBytes));
      held = held.subarray(bodyAt + bodyBytes);
      isBusy = true;
      serve(
        connection,
        { ...head, requestId: head.headers.get('x-request-id') ?? '', body },
        () => {
          isBusy = false;
          readNext();
        },
      );
    };
    socket.on('data', (chunk) => {
      held = Buffer.concat([held, chunk]);
      readNext();
    });
  };

  const server = createServer(accept);
  await new Promise<void>((resolve, fail) => {
    server.once('error', fail);
    server.listen(options.port ?? 0, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `${options.host}:${port}`;
  let announcedAtMs = 0;
  const announce = (): void => {
    sequence += 1;
    announcedAtMs = performance.now();
    store.put(`servers/${id}`, {
      Service: options.service,
      Address: address,
      Zone: options.zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdRemainingMs: 0,
      Seq: sequence,
    });
  };
  announce();
  const heartbeat = setInterval(announce, options.heartbeatMs);
  return {
    id,
    address,
    port,
    running: () => running,
    close() {
      clearInterval(heartbeat);
      server.close();
      for (const socket of sockets) socket.destroy();
    },
    crash() {
      clearInterval(heartbeat);
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      const expiresAtMs = announcedAtMs + SILENT_HEARTBEATS * options.heartbeatMs;
      later(Math.max(0, expiresAtMs - performance.now()), () => store.remove(`servers/${id}`));
    },
  };
}

/** Waits without keeping the process alive. */
export function later(delayMs: number, task: () => void): void {
  setTimeout(task, delayMs).unref();
}
