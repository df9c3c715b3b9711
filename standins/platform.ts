import type { IncomingMessage, ServerResponse } from 'node:http';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** Current behaviour of the stand-in. */
export type PlatformMood = 'up' | 'down' | 'stale';

/**
 * A stand-in for the platform's key-value service with the interface of the Consul KV HTTP API:
 * `GET /v1/kv/KEY?raw&index=N&wait=30s` is answered at once if the value has changed since index N, and otherwise when it
 * changes.
 */
export interface PlatformStandIn extends StandIn {
  /** Sets a key and wakes its watches. */
  publish(key: string, text: string): void;
  /** `down` refuses all reads; `stale` answers with the values as of the time at which it became stale. */
  setMood(mood: PlatformMood): void;
  /** Number of reads and watches so far, including those that wait. */
  readCount(): number;
}

interface Value {
  text: string;
  index: number;
}

const WAIT = /^(\d+)s$/;

function waitMsOf(url: URL): number {
  const seconds = WAIT.exec(url.searchParams.get('wait') ?? '')?.[1];
  return Number(seconds ?? 0) * 1000;
}

/** Opens a platform stand-in without any keys. */
export async function openPlatformStandIn(port = 0): Promise<PlatformStandIn> {
  const values = new Map<string, Value>();
  let staleValues = new Map<string, Value>();
  const watchers = new Set<() => void>();
  let mood: PlatformMood = 'up';
  let index = 1;
  let reads = 0;

  const visible = () => (mood === 'stale' ? staleValues : values);

  const waitForChange = (response: ServerResponse, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const go = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
        clearTimeout(timer);
        watchers.delete(go);
        resolve();
      };
      const timer = setTimeout(go, waitMs);
      timer.unref();
      watchers.add(go);
      response.once('close', go);
    });

  const handler = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    reads += 1;
    const url = new URL(incoming.url ?? '/', 'http://platform');
    const key = url.pathname.replace('/v1/kv/', '');
    const knownIndex = Number(url.searchParams.get('index') ?? 0);
    const endsAtMs = performance.now() + waitMsOf(url);
    while (
      mood !== 'down' &&
      (visible().get(key)?.index ?? 0) <= knownIndex &&
      performance.now() < endsAtMs &&
      !response.destroyed
    ) {
      await waitForChange(response, endsAtMs - performance.now());
    }
    if (mood === 'down') {
      sendJson(response, 500, { error: 'down' });
      return;
    }
    const value = visible().get(key);
    if (value === undefined) {
      response.writeHead(404, { 'x-consul-index': String(index) });
      response.end();
      return;
    }
    response.writeHead(200, { 'x-consul-index': String(value.index) });
    response.end(value.text);
  };

  const wake = () => [...watchers].forEach((watcher) => watcher());
  const standIn = await openStandIn(handler, port);
  return {
    ...standIn,
    publish(key, text) {
      index += 1;
      values.set(key, { text, index });
      wake();
    },
    setMood(next) {
      if (next === 'stale') staleValues = new Map(values);
      mood = next;
      wake();
    },
    readCount: () => reads,
  };
}
