import type { IncomingMessage, ServerResponse } from 'node:http';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** One change as the store keeps it. */
interface StoredEvent {
  readonly Key: string;
  readonly Revision: number;
  readonly Value?: unknown;
  readonly Removed?: true;
}

/** All that the store held at one moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredEvent>;
  readonly history: readonly StoredEvent[];
  readonly revision: number;
}

/** How the stand-in behaves: `busy` answers 503, `silent` never answers. */
export type StoreMood = 'good' | 'busy' | 'silent';

/** A stand-in for the users' store: range reads and watches, as their pages describe them. */
export interface StoreStandIn extends StandIn {
  setMood(mood: StoreMood): void;
  /** Range reads and watches that have come in. */
  readonly calls: { range: number; watch: number };
  put(key: string, value: unknown): void;
  /** Puts an item whose value is not what it should be: other bytes, or no text at all. */
  putRaw(key: string, value: unknown): void;
  remove(key: string): void;
  /** Drops all history, so that watches from before are answered 410. */
  compact(): void;
  saveCopy(): StoreCopy;
  /** Runs a task once, right after the next page of a range read has been answered. */
  afterNextPage(task: () => void): void;
  /**
   * Goes on from a copy: what was written since is gone, and its revisions are given out again. Watches that wait are cut
   * off where the store is away meanwhile, and answered without news where it is not.
   */
  restore(copy: StoreCopy): void;
}

/** In all answers: rises by one with each return from a copy. */
const ERA_HEADER = 'Store-Era';

function encode(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

/** A server's entry with all that servers write; `more` replaces parts of it. */
export function serverEntry(address: string, more: object = {}): Readonly<Record<string, unknown>> {
  return {
    Service: 'app',
    Address: address,
    Zone: 'north-a',
    Version: 'v1',
    Slots: 8,
    State: 'ready',
    Seq: 1,
    ColdRemainingMs: 0,
    ...more,
  };
}

/** Opens a stand-in store that holds nothing; its range reads give so many items at once. */
export async function openStoreStandIn(itemsPerPage = 500): Promise<StoreStandIn> {
  const items = new Map<string, StoredEvent>();
  let mood: StoreMood = 'good';
  const calls = { range: 0, watch: 0 };
  let afterPage: (() => void) | undefined;
  const waiting = new Set<() => void>();
  let history: StoredEvent[] = [];
  let revision = 1;
  let compactedAt = 0;
  /** How often the store has come back from a copy, and once. */
  let era = 1;

  const append = (event: StoredEvent): void => {
    history.push(event);
    for (const wake of [...waiting]) wake();
  };

  const putRaw = (key: string, value: unknown): void => {
    revision += 1;
    const event = { Key: key, Revision: revision, Value: value };
    items.set(key, event);
    append(event);
  };

  const answerRange = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter((item) => item.Key.startsWith(prefix) && item.Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    const page = found.slice(0, itemsPerPage);
    const hasMore = page.length < found.length;
    sendJson(response, 200, { items: page, MorePages: hasMore, StoreRevision: revision });
    const task = afterPage;
    afterPage = undefined;
    task?.();
  };

  const answerWatch = (query: URLSearchParams, response: ServerResponse): void => {
    const after = Number(query.get('after') ?? 0);
    const prefix = query.get('Prefix') ?? '';
    if (after < compactedAt || after > revision) {
      sendJson(response, 410, {});
      return;
    }
    const newer = () =>
      history.filter((event) => event.Revision > after && event.Key.startsWith(prefix));
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      waiting.delete(finish);
      clearTimeout(timer);
      if (mood !== 'good') {
        response.destroy();
        return;
      }
      response.setHeader(ERA_HEADER, era);
      sendJson(response, 200, { events: newer(), StoreRevision: revision });
    };
    if (newer().length > 0) {
      finish();
      return;
    }
    waiting.add(finish);
    timer = setTimeout(finish, Number(query.get('WaitMs') ?? 0));
    response.on('close', () => {
      waiting.delete(finish);
      clearTimeout(timer);
    });
  };

  const handler = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(incoming.url ?? '/', 'http://store');
    if (url.pathname === '/kv-range') calls.range += 1;
    else calls.watch += 1;
    if (mood === 'silent') return;
    response.setHeader(ERA_HEADER, era);
    if (mood === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    if (url.pathname === '/kv-range') answerRange(url.searchParams, response);
    else answerWatch(url.searchParams, response);
  };

  const standIn = await openStandIn(handler);
  return {
    ...standIn,
    setMood(next) {
      mood = next;
    },
    calls,
    put: (key, value) => putRaw(key, encode(value)),
    putRaw,
    remove(key) {
      revision += 1;
      items.delete(key);
      append({ Key: key, Revision: revision, Removed: true });
    },
    compact() {
      history = [];
      compactedAt = revision;
    },
    afterNextPage(task) {
      afterPage = task;
    },
    saveCopy: () => ({ items: new Map(items), history: [...history], revision }),
    restore(copy) {
      items.clear();
      for (const [key, item] of copy.items) items.set(key, item);
      history = [...copy.history];
      revision = copy.revision;
      era += 1;
      for (const finish of [...waiting]) finish();
    },
  };
}
