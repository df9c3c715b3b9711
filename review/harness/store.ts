import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout } from 'node:timers';

/** The platform's store as the pages describe it: range reads, watches and acknowledged writes. */
export interface Store {
  readonly address: string;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  close(): void;
}

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly CreatedRev: number;
  readonly Lease: number;
}

type StoreEvent =
  Item | { readonly Key: string; readonly Revision: number; readonly Removed: true };

const MAX_PAGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;

/** Opens an empty store on a free port of `host`. */
export async function openStore(host: string): Promise<Store> {
  const items = new Map<string, Item>();
  const history: StoreEvent[] = [];
  const waiting = new Set<() => void>();
  let revision = 1;

  const send = (response: ServerResponse, status: number, body: unknown): void => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  const record = (event: StoreEvent): void => {
    history.push(event);
    for (const wake of [...waiting]) wake();
  };

  const answerRange = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    const page = found.slice(0, MAX_PAGE_ITEMS);
    const MorePages = page.length < found.length;
    send(response, 200, { items: page, MorePages, StoreRevision: revision });
  };

  const answerWatch = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const newer = () =>
      history.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
    const state = { timer: undefined as NodeJS.Timeout | undefined };
    const finish = (): void => {
      waiting.delete(finish);
      clearTimeout(state.timer);
      send(response, 200, { events: newer(), StoreRevision: revision });
    };
    if (newer().length > 0) {
      finish();
      return;
    }
    waiting.add(finish);
    state.timer = setTimeout(finish, Math.min(MAX_WAIT_MS, Number(query.get('WaitMs') ?? 0)));
    response.on('close', () => {
      waiting.delete(finish);
      clearTimeout(state.timer);
    });
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse): void => {
    const url = new URL(incoming.url ?? '/', 'http://store');
    if (url.pathname === '/kv-range') answerRange(url.searchParams, response);
    else if (url.pathname === '/kv-watch') answerWatch(url.searchParams, response);
    else send(response, 404, {});
  };

  const server = createServer(handle);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    put(key, value) {
      revision += 1;
      const item: Item = {
        Key: key,
        Value: Buffer.from(JSON.stringify(value)).toString('base64'),
        Revision: revision,
        CreatedRev: items.get(key)?.CreatedRev ?? revision,
        Lease: 0,
      };
      items.set(key, item);
      record(item);
    },
    remove(key) {
      if (!items.delete(key)) return;
      revision += 1;
      record({ Key: key, Revision: revision, Removed: true });
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
