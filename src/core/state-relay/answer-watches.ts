import type { CallAnswer, CallHandler, IncomingCall } from '../calls';
import { createWakeUp } from '../clock';
import type { Clock } from '../clock';
import { writeChanges } from '../state-sync';
import type { Position } from '../state-sync';
import type { ChangeFeed } from './change-feed';

/** Path on the listener for other instances that tells of changes of what is published. */
export const CHANGES_PATH = '/changes';
/** Path on the same listener that hands out all that is published, as far as the source is followed. */
export const FOLLOWED_STATE_PATH = '/followed-state';

/** What the answers are made from. */
export interface AnswerWatchesOptions {
  readonly clock: Clock;
  readonly feed: Pick<ChangeFeed, 'since' | 'onNews' | 'era'>;
  /** Monotonic time until which what is known here counts as up to date, without a further answer of the source. */
  readonly freshUntilMs: () => number;
  /** All that is published, as text. */
  readonly writeState: () => string;
}

/** Longest wait of one call, ms. */
const LONGEST_WAIT_MS = 5_000;
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
  return { after: { era, revision }, waitMs: Math.min(LONGEST_WAIT_MS, Math.max(0, waitMs)) };
}

/**
 * Answers instances that follow this one.
 *
 * An instance that has lost the source must not go on answering that nothing has changed: those who follow it would
 * send requests to servers that have left, while they could have read of it themselves. So a call ends with
 * `unavailable` as soon as the source has been silent for longer than a watch takes.
 */
export function answerWatches(options: AnswerWatchesOptions): ReadonlyMap<string, CallHandler> {
  const { clock, feed, freshUntilMs } = options;
  const isFresh = () => clock.monotonicMs() < freshUntilMs();

  /** Whether whoever asks has heard of a return of the source that is not known here yet. */
  const isBehind = (after: Position) => after.era > (feed.era() ?? -Infinity);

  const current = (after: Position): CallAnswer | undefined => {
    if (!isFresh() || isBehind(after)) return NOT_FOLLOWING;
    const news = feed.since(after);
    if (news.kind === 'historyGone') return { status: GONE, text: '{}' };
    return news.changes.length === 0 ? undefined : { status: OK, text: writeChanges(news) };
  };

  const nothingNew = (after: Position): CallAnswer => ({
    status: OK,
    text: writeChanges({ kind: 'changes', position: after, changes: [] }),
  });

  const watch: CallHandler = async (call) => {
    const query = readQuery(call);
    if (query === undefined) return { status: BAD_REQUEST, text: '{}' };
    const untilMs = clock.monotonicMs() + query.waitMs;
    const wakeUp = createWakeUp(clock);
    const gone = new AbortController();
    call.onGone(() => gone.abort());
    const listening = feed.onNews(wakeUp.wake);
    let answer = current(query.after);
    while (answer === undefined && clock.monotonicMs() < untilMs && !gone.signal.aborted) {
      await wakeUp.restUntil(Math.min(untilMs, freshUntilMs()), gone.signal);
      answer = current(query.after);
    }
    listening[Symbol.dispose]();
    return answer ?? nothingNew(query.after);
  };

  const state: CallHandler = () =>
    isFresh() ? { status: OK, text: options.writeState() } : NOT_FOLLOWING;

  return new Map([
    [CHANGES_PATH, watch],
    [FOLLOWED_STATE_PATH, state],
  ]);
}
