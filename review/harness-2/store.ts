import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

/** A stand-in for the platform's store: range reads and watches, as the pages describe them. */

interface Change {
  readonly Key: string;
  readonly Revision: number;
  readonly CreatedRev?: number;
  readonly Value?: string;
  readonly Lease?: 0;
  readonly Removed?: true;
}

/** `good` answers, `busy` answers 503, `silent` never answers. */
export type StoreMood = 'good' | 'busy' | 'silent';

export interface Store extends AsyncDisposable {
  readonly address: string;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  setMood(mood: StoreMood): void;
  /** Mood for the calls that come from one loopback address; `undefined` for the common one. */
  setMoodFor(ip: string, mood: StoreMood | undefined): void;
  /** Drops all history. */
  compact(): void;
}

const MAX_WAIT_MS = 30_000;
const PAGE_ITEMS = 500;

/** Opens an empty store. */
export async function openStore(host = '127.0.0.1'): Promise<Store> {
  const items = new Map<string, Change>();
  let history: Change[] = [];
  let compactedAt = 0;
  let revision = 1;
  let commonMood: StoreMood = 'good';
  const moods = new Map<string, StoreMood>();
  const waiting = new Set<() => void>();
  const sockets = new Set<Socket>();

  const send = (response: ServerResponse, status: number, body: object): void => {
    if (response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };

  const append = (change: Change): void => {
    history.push(change);
    for (const wake of [...waiting]) wake();
  };

  const range = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    const page = found.slice(0, PAGE_ITEMS);
    send(response, 200, {
      items: page,
      MorePages: page.length < found.length,
      StoreRevision: revision,
    });
  };

  const watch = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('WaitMs') ?? 0));
    if (after < compactedAt) {
      send(response, 410, {});
      return;
    }
    const newer = () =>
      history.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      waiting.delete(finish);
      clearTimeout(timer);
      if (after < compactedAt) send(response, 410, {});
      else send(response, 200, { events: newer(), StoreRevision: revision });
    };
    if (newer().length > 0) {
      finish();
      return;
    }
    waiting.add(finish);
    timer = setTimeout(finish, waitMs);
    response.on('close', () => {
      waiting.delete(finish);
      clearTimeout(timer);
    });
  };

  const answer = (incoming: IncomingMessage, response: ServerResponse): void => {
    const mood = moods.get(incoming.socket.remoteAddress ?? '') ?? commonMood;
    if (mood === 'silent') return;
    if (mood === 'busy') {
      send(response, 503, {});
      return;
    }
    const url = new URL(incoming.url ?? '/', 'http://store');
    if (url.pathname === '/kv-range') range(url.searchParams, response);
    else if (url.pathname === '/kv-watch') watch(url.searchParams, response);
    else send(response, 404, {});
  };

  const server = createServer(answer);
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    put(key, value) {
      revision += 1;
      const change: Change = {
        Key: key,
        Revision: revision,
        CreatedRev: items.get(key)?.CreatedRev ?? revision,
        Value: Buffer.from(JSON.stringify(value)).toString('base64'),
        Lease: 0,
      };
      items.set(key, change);
      append(change);
    },
    remove(key) {
      if (!items.delete(key)) return;
      revision += 1;
      append({ Key: key, Revision: revision, Removed: true });
    },
    setMood(mood) {
      commonMood = mood;
    },
    setMoodFor(ip, mood) {
      if (mood === undefined) moods.delete(ip);
      else moods.set(ip, mood);
    },
    compact() {
      history = [];
      compactedAt = revision;
      for (const wake of [...waiting]) wake();
    },
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
