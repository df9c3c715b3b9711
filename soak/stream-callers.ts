import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { pickIndex } from '../src/core/random';
import type { RandomSource } from '../src/core/random';
import { keyOfCaller } from './accounts';
import { GIVE_UP_MS, sendRequest } from './callers';
import type { RequestedRoute } from './callers';
import { SLOW_PREFIX } from './configuration';
import { hasEvent, takenUpAfter } from './stream-versions';
import type { CallerAttempt, TakenUpStream } from './types';

/**
 * Callers of slow streams, which take up what broke off at any instance, until the stream is complete or some time has
 * passed. They keep connections open until the process at the other end is gone.
 */
export interface StreamCallers extends Disposable {
  readonly attempts: readonly CallerAttempt[];
  /** Begins streams at a steady rate for some time. */
  during(forMs: number): Promise<void>;
  /** Resolves once no stream is open. */
  settle(): Promise<void>;
}

/** Options of `createStreamCallers`. */
export interface StreamCallersOptions {
  readonly random: RandomSource;
  readonly addresses: readonly string[];
  /** Interval between the begins of two streams, ms. */
  readonly gapMs: number;
}

const ROUTE: RequestedRoute = {
  path: `${SLOW_PREFIX}1`,
  kind: 'stream',
  maxAttempts: 2,
  isResumable: true,
};
/** Interval between two attempts to take a stream up, ms. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 400;
/** Time after which a caller no longer takes its stream up, ms from the moment at which it broke off. */
const TAKE_UP_FOR_MS = 7_000;
/** Share of the callers that do not tell which request began their stream. */
const UNNAMED_SHARE = 0.15;

/** Creates callers that send nothing yet. */
export function createStreamCallers(options: StreamCallersOptions): StreamCallers {
  const { random, addresses, gapMs } = options;
  const attempts: CallerAttempt[] = [];
  const open = new Set<Promise<void>>();
  const agent = new Agent({ keepAlive: true });
  let asked = 0;

  const ask = async (takesUp: TakenUpStream | undefined): Promise<CallerAttempt> => {
    asked += 1;
    const address = addresses[pickIndex(random, addresses.length)] ?? '';
    const sent = { agent, key: keyOfCaller(0), leavesAfterMs: GIVE_UP_MS, takesUp };
    const attempt = await sendRequest(address, ROUTE, `slow-${asked}`, sent);
    attempts.push(attempt);
    return attempt;
  };

  const follow = async (): Promise<void> => {
    const isUnnamed = random.next() < UNNAMED_SHARE;
    let attempt = await ask(undefined);
    let takesUp = takenUpAfter(attempt);
    let untilMs = performance.now() + TAKE_UP_FOR_MS;
    while (takesUp !== undefined && performance.now() < untilMs) {
      await sleep(MIN_RETRY_MS + random.next() * (MAX_RETRY_MS - MIN_RETRY_MS));
      attempt = await ask({ ...takesUp, isUnnamed });
      if (hasEvent(attempt)) {
        takesUp = takenUpAfter(attempt);
        untilMs = performance.now() + TAKE_UP_FOR_MS;
      }
    }
  };

  return {
    attempts,
    async during(forMs) {
      const untilMs = performance.now() + forMs;
      while (performance.now() < untilMs) {
        const followed = follow().finally(() => open.delete(followed));
        open.add(followed);
        await sleep(gapMs);
      }
    },
    async settle() {
      await Promise.all(open);
    },
    [Symbol.dispose]() {
      agent.destroy();
    },
  };
}
