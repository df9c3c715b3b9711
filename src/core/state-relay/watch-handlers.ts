import type { CallAnswer, CallHandler, IncomingCall } from '../calls';
import { createWakeUp } from '../clock';
import type { Clock } from '../clock';
import { serializeChanges } from '../state-sync';
import type { Position } from '../state-sync';
import type { ChangeFeed } from './change-feed';

/** Path for changes of published state, on the listener for other instances. */
export const CHANGES_PATH = '/changes';
/** Path for the complete published state on the same listener; answered only while the source is followed. */
export const FOLLOWED_STATE_PATH = '/followed-state';

/** Options of the handlers for watches of other instances. */
export interface WatchHandlersOptions {
  readonly clock: Clock;
  readonly feed: Pick<ChangeFeed, 'since' | 'onChanges' | 'era'>;
  /** Monotonic time until which the local state counts as up to date without another answer of the source. */
  readonly freshUntilMs: () => number;
  /** Serializes the complete published state. */
  readonly serializeState: () => string;
}

/** Maximum wait of one call, ms. */
const MAX_WAIT_MS = 5_000;
const OK = 200;
const BAD_REQUEST = 400;
const GONE = 410;
const UNAVAILABLE = 503;

const NOT_FOLLOWING: CallAnswer = { status: UNAVAILABLE, text: '{}' };

interface WatchQuery {
  readonly after: Position;
  readonly waitMs: number;
}

function readQuery({ query }: IncomingCall): WatchQuery | undefined {
  const era = Number(query.get('era') ?? NaN);
  const revision = Number(query.get('after') ?? NaN);
  const waitMs = Number(query.get('waitMs') ?? NaN);
  const isPosition = Number.isSafeInteger(era) && Number.isSafeInteger(revision);
  if (!isPosition || !Number.isFinite(waitMs)) return undefined;
  return { after: { era, revision }, waitMs: Math.min(MAX_WAIT_MS, Math.max(0, waitMs)) };
}

/**
 * Creates the handlers for calls of instances that follow this one.
 *
 * An instance that has lost the source must not continue to report that nothing has changed: its followers would send
 * requests to servers that have left, although they could have read the changes themselves. A call therefore ends with
 * status 503 as soon as the source has not answered for longer than a watch takes.
 */
export function createWatchHandlers(
  options: WatchHandlersOptions,
): ReadonlyMap<string, CallHandler> {
  const { clock, feed, freshUntilMs } = options;
  const isFresh = () => clock.monotonicMs() < freshUntilMs();

  /** Returns whether the follower has seen a restore of the source that is not known here yet. */
  const isAheadOfFeed = (after: Position) => after.era > (feed.era() ?? -Infinity);

  /** Returns the answer to a watch as of now; undefined while there are no changes to report. */
  const currentAnswer = (after: Position): CallAnswer | undefined => {
    if (!isFresh() || isAheadOfFeed(after)) return NOT_FOLLOWING;
    const update = feed.since(after);
    if (update.kind === 'historyGone') return { status: GONE, text: '{}' };
    return update.changes.length === 0 ? undefined : { status: OK, text: serializeChanges(update) };
  };

  const emptyAnswer = (after: Position): CallAnswer => ({
    status: OK,
    text: serializeChanges({ kind: 'changes', position: after, changes: [] }),
  });

  const watch: CallHandler = async (call) => {
    const query = readQuery(call);
    if (query === undefined) return { status: BAD_REQUEST, text: '{}' };
    const untilMs = clock.monotonicMs() + query.waitMs;
    const wakeUp = createWakeUp(clock);
    const disconnected = new AbortController();
    call.onDisconnected(() => disconnected.abort());
    const subscription = feed.onChanges(wakeUp.wake);
    let answer = currentAnswer(query.after);
    while (answer === undefined && clock.monotonicMs() < untilMs && !disconnected.signal.aborted) {
      await wakeUp.restUntil(Math.min(untilMs, freshUntilMs()), disconnected.signal);
      answer = currentAnswer(query.after);
    }
    subscription[Symbol.dispose]();
    return answer ?? emptyAnswer(query.after);
  };

  const state: CallHandler = () =>
    isFresh() ? { status: OK, text: options.serializeState() } : NOT_FOLLOWING;

  return new Map([
    [CHANGES_PATH, watch],
    [FOLLOWED_STATE_PATH, state],
  ]);
}
