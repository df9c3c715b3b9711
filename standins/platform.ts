import type { IncomingMessage, ServerResponse } from 'node:http';
import { openStandIn, sendJson } from './listen';
import type { StandIn } from './listen';

/** How the stand-in behaves just now. */
export type PlatformMood = 'up' | 'down' | 'stale';

/**
 * The platform's key-value service as the Consul KV HTTP API has it: `GET /v1/kv/KEY?raw&index=N&wait=30s`
 * answers at once when the value has changed since index N, else holds the request until it does.
 */
export interface PlatformStandIn extends StandIn {
  /** Sets a key and wakes its watches. */
  publish(key: string, text: string): void;
  /** `down` refuses every read; `stale` answers with what stood there when it became stale. */
  setMood(mood: PlatformMood): void;
  /** Reads and watches answered or held so far. */
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

/** Opens the platform stand-in, empty. */
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
