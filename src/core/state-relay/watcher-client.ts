import type { CallAnswer, CallClient } from '../calls';
import type { Clock } from '../clock';
import { parseChanges, parseSnapshot } from '../state-sync';
import type { Position, PublishedChanges, PublishedState } from '../state-sync';
import { CHANGES_PATH, FOLLOWED_STATE_PATH } from './watch-handlers';
import type { WatcherFault } from './watcher-backoffs';

/** Result of a call to another instance as a watcher. */
export type WatcherAnswer<Value> =
  | { readonly kind: 'answered'; readonly value: Value }
  | { readonly kind: 'failed'; readonly fault: WatcherFault; readonly reason: string };

/** Reads published state from other instances. Never rejects. */
export interface WatcherClient {
  watch(
    address: string,
    after: Position,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<WatcherAnswer<PublishedChanges>>;
  readAll(address: string, signal: AbortSignal): Promise<WatcherAnswer<PublishedState>>;
}

/** Time after its maximum wait at which a watch counts as lost, ms: a few round trips within a region. */
const WATCH_GRACE_MS = 400;
/** Timeout of a read of the complete state, ms. */
const READ_TIMEOUT_MS = 1_000;
const OK = 200;
const GONE = 410;
const UNAVAILABLE = 503;

/** Creates a client for watchers. */
export function createWatcherClient(clock: Clock, callClient: CallClient): WatcherClient {
  const request = async <Value>(
    address: string,
    path: string,
    answerByMs: number,
    signal: AbortSignal,
    parse: (answer: CallAnswer) => Value | undefined,
  ): Promise<WatcherAnswer<Value>> => {
    try {
      const answer = await callClient.call(address, { method: 'GET', path, answerByMs }, signal);
      const value = parse(answer);
      if (value !== undefined) return { kind: 'answered', value };
      const fault = answer.status === UNAVAILABLE ? 'notFollowing' : 'noAnswer';
      return { kind: 'failed', fault, reason: `status ${answer.status}` };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: 'failed', fault: 'noAnswer', reason };
    }
  };

  return {
    watch: (address, after, waitMs, signal) =>
      request(
        address,
        `${CHANGES_PATH}?era=${after.era}&after=${after.revision}&waitMs=${waitMs}`,
        clock.monotonicMs() + waitMs + WATCH_GRACE_MS,
        signal,
        ({ status, text }): PublishedChanges | undefined => {
          if (status === GONE) return { kind: 'historyGone' };
          return status === OK ? parseChanges(text) : undefined;
        },
      ),
    readAll: (address, signal) =>
      request(
        address,
        FOLLOWED_STATE_PATH,
        clock.monotonicMs() + READ_TIMEOUT_MS,
        signal,
        ({ status, text }) => (status === OK ? parseSnapshot(text) : undefined),
      ),
  };
}
