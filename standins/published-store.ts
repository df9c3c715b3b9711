import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** One change in the history of the store. */
interface StoredEvent {
  readonly Key: string;
  readonly Revision: number;
  /** Revision that created the item; absent in a removal. */
  readonly CreatedRev?: number;
  readonly Value?: unknown;
  readonly Removed?: true;
}

/** The contents of the store at one time. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredEvent>;
  readonly history: readonly StoredEvent[];
  readonly revision: number;
  /** Newest revision whose change is not in the history any more; 0 if all are. */
  readonly compactedAt: number;
}

/** Behaviour of the stand-in: `busy` answers 503, `silent` never answers. */
export type StoreMood = 'good' | 'busy' | 'silent';

/** Returns the value that a reader gets instead of the stored one. */
export type ChangeValue = (key: string, value: unknown) => unknown;

/** A stand-in for the users' store with range reads and watches. */
export interface StoreStandIn extends StandIn {
  setMood(mood: StoreMood): void;
  /** Time from a call's arrival until it is processed, ms; 0 at first. */
  setDelayMs(delayMs: number): void;
  /** Range reads and watches received so far. */
  readonly calls: { range: number; watch: number };
  put(key: string, value: unknown): void;
  /** Puts an item with an invalid value: other bytes, or no text. */
  putRaw(key: string, value: unknown): void;
  remove(key: string): void;
  /** Drops all history; watches from earlier revisions are answered 410. */
  compact(): void;
  saveCopy(): StoreCopy;
  /** Runs a task once, right after the next page of a range read has been answered. */
  afterNextPage(task: () => void): void;
  /** Opens a further address, at which the values of items are changed as they are read. */
  openView(changeValue: ChangeValue): Promise<StandIn>;
  /**
   * Restores the contents from a copy: later changes are lost, and their revisions are assigned again. Waiting watches are
   * cut off if the store is unavailable meanwhile, and are otherwise answered without events.
   */
  restore(copy: StoreCopy): void;
}

/** Header of all answers; its value increases by one with each restoration from a copy. */
const ERA_HEADER = 'Store-Era';

function encode(value: unknown): string {
  return Buffer.from(JSON.stringify(value)).toString('base64');
}

function seenBy(changeValue: ChangeValue, event: StoredEvent): StoredEvent {
  if (event.Removed === true) return event;
  return { ...event, Value: changeValue(event.Key, event.Value) };
}

/** Returns a complete entry of a server; `more` replaces parts of it. */
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

/**
 * Opens an empty stand-in store whose range reads return at most `itemsPerPage` items. It forgets changes that are older
 * than `historyMs`.
 */
export async function openStoreStandIn(
  itemsPerPage = 500,
  historyMs = Infinity,
): Promise<StoreStandIn> {
  const items = new Map<string, StoredEvent>();
  let mood: StoreMood = 'good';
  let delayMs = 0;
  const calls = { range: 0, watch: 0 };
  let afterPage: (() => void) | undefined;
  const waiting = new Set<() => void>();
  let history: StoredEvent[] = [];
  /** Time at which each change was made, by revision. */
  const changedAtMs = new Map<number, number>();
  let revision = 1;
  let compactedAt = 0;
  /** Number of restorations from a copy, plus one. */
  let era = 1;

  const append = (event: StoredEvent): void => {
    history.push(event);
    changedAtMs.set(event.Revision, performance.now());
    for (const wake of [...waiting]) wake();
  };

  const putRaw = (key: string, value: unknown): void => {
    revision += 1;
    const createdRevision = items.get(key)?.CreatedRev ?? revision;
    const event = { Key: key, Revision: revision, CreatedRev: createdRevision, Value: value };
    items.set(key, event);
    append(event);
  };

  const forgetOldChanges = (): void => {
    const isOld = ({ Revision }: StoredEvent) =>
      performance.now() - (changedAtMs.get(Revision) ?? 0) > historyMs;
    for (let [oldest] = history; oldest !== undefined && isOld(oldest); [oldest] = history) {
      history.shift();
      compactedAt = oldest.Revision;
    }
  };

  const answerRange = (
    query: URLSearchParams,
    response: ServerResponse,
    changeValue: ChangeValue,
  ): void => {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter((item) => item.Key.startsWith(prefix) && item.Key > after)
      .sort((left, right) => (left.Key < right.Key ? -1 : 1));
    const page = found.slice(0, itemsPerPage).map((item) => seenBy(changeValue, item));
    const hasMore = page.length < found.length;
    sendJson(response, 200, { items: page, MorePages: hasMore, StoreRevision: revision });
    const task = afterPage;
    afterPage = undefined;
    task?.();
  };

  const answerWatch = (
    query: URLSearchParams,
    response: ServerResponse,
    changeValue: ChangeValue,
  ): void => {
    const after = Number(query.get('after') ?? 0);
    const prefix = query.get('Prefix') ?? '';
    forgetOldChanges();
    if (after < compactedAt || after > revision) {
      sendJson(response, 410, {});
      return;
    }
    const newer = () =>
      history
        .filter((event) => event.Revision > after && event.Key.startsWith(prefix))
        .map((event) => seenBy(changeValue, event));
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

  const answer = (
    incoming: IncomingMessage,
    response: ServerResponse,
    changeValue: ChangeValue,
  ): void => {
    const url = new URL(incoming.url ?? '/', 'http://store');
    if (url.pathname === '/kv-range') calls.range += 1;
    else calls.watch += 1;
    if (mood === 'silent') return;
    response.setHeader(ERA_HEADER, era);
    if (mood === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    if (url.pathname === '/kv-range') answerRange(url.searchParams, response, changeValue);
    else answerWatch(url.searchParams, response, changeValue);
  };

  const openView = (changeValue: ChangeValue): Promise<StandIn> =>
    openStandIn(async (incoming, response) => {
      if (delayMs > 0) await sleep(delayMs);
      if (!response.destroyed) answer(incoming, response, changeValue);
    });

  const standIn = await openView((_key, value) => value);
  return {
    ...standIn,
    openView,
    setMood(next) {
      mood = next;
    },
    setDelayMs(next) {
      delayMs = next;
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
    saveCopy: () => ({ items: new Map(items), history: [...history], revision, compactedAt }),
    restore(copy) {
      items.clear();
      for (const [key, item] of copy.items) items.set(key, item);
      history = [...copy.history];
      revision = copy.revision;
      compactedAt = copy.compactedAt;
      era += 1;
      for (const finish of [...waiting]) finish();
    },
  };
}
