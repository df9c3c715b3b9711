import { setTimeout as sleep } from 'node:timers/promises';
import type { BrokenPromise, BrittleTime } from './types';

/** Servers that fail if they have to reject more than a few requests within a second, as all servers of a service at times. */
export interface Brittleness {
  /** Times that have ended. */
  readonly times: readonly BrittleTime[];
  /** Has the servers be brittle for some time, if they are not yet. */
  during(forMs: number): Promise<void>;
  /** Rejections within a second that a server bears, as it states them; undefined if it is not brittle. */
  statedMax(): number | undefined;
  /** Time that each request takes, ms. */
  workMs(): number;
  /** Admits a request at a start of a server; without room, the server rejects it, or falls after too many rejections. */
  admit(server: string): 'run' | 'reject' | 'fall';
  /** Records the end of an admitted request. */
  release(server: string): void;
}

/** Requests that a server has room for; none waits. */
export const SERVER_SLOTS = 2;
const MAX_REJECTIONS = 2;
const REJECTION_WINDOW_MS = 1_000;
/** Time after the first statement from which servers have no room for waiting requests, ms. */
const ENFORCED_AFTER_MS = 5_000;
const BRITTLE_WORK_MS = 150;
/** Falls that are allowed in one time, and those that are allowed for each server. */
const MAX_FALLS = 2;
const MAX_FALLS_PER_SERVER = 0.1;

/** Creates servers that are not brittle yet. */
export function createBrittleness(): Brittleness {
  const times: BrittleTime[] = [];
  const openRequests = new Map<string, number>();
  /** Times of the latest rejections of each start, Unix ms. */
  const rejectedAtMs = new Map<string, readonly number[]>();
  let sinceMs: number | undefined;
  let falls = 0;

  const reject = (server: string, nowMs: number): 'reject' | 'fall' => {
    const earlier = rejectedAtMs.get(server) ?? [];
    const recent = [...earlier, nowMs].filter((atMs) => atMs > nowMs - REJECTION_WINDOW_MS);
    rejectedAtMs.set(server, recent);
    if (recent.length <= MAX_REJECTIONS) return 'reject';
    rejectedAtMs.delete(server);
    falls += 1;
    return 'fall';
  };

  return {
    times,
    async during(forMs) {
      if (sinceMs !== undefined) return;
      sinceMs = Date.now();
      falls = 0;
      await sleep(forMs);
      times.push({ fromMs: sinceMs, toMs: Date.now(), falls });
      sinceMs = undefined;
    },
    statedMax: () => (sinceMs === undefined ? undefined : MAX_REJECTIONS),
    workMs: () => (sinceMs === undefined ? 0 : BRITTLE_WORK_MS),
    admit(server) {
      const nowMs = Date.now();
      const count = openRequests.get(server) ?? 0;
      const isEnforced = sinceMs !== undefined && nowMs >= sinceMs + ENFORCED_AFTER_MS;
      if (isEnforced && count >= SERVER_SLOTS) return reject(server, nowMs);
      openRequests.set(server, count + 1);
      return 'run';
    },
    release(server) {
      openRequests.set(server, (openRequests.get(server) ?? 1) - 1);
    },
  };
}

/** Checks that servers fell no more often than is allowed in one time in which they were brittle. */
export function checkFalls(
  times: readonly BrittleTime[],
  servers: number,
): readonly BrokenPromise[] {
  const allowed = MAX_FALLS + MAX_FALLS_PER_SERVER * servers;
  return times
    .filter(({ falls }) => falls > allowed)
    .map(({ fromMs, toMs, falls }) => ({
      promise: 'fellTooOften',
      requestId: '',
      detail: `${falls} falls in ${toMs - fromMs} ms, allowed ${allowed}`,
    }));
}
