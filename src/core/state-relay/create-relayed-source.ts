import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { Position, PublishedChanges, PublishedState, StateSource } from '../state-sync';
import type { WatcherAnswer, WatcherClient } from './ask-watcher';
import { createChangeFeed } from './change-feed';
import type { ChangeFeed } from './change-feed';
import { chooseWatcher } from './choose-watcher';
import { STATE_RELAY_EVENTS } from './events';
import { createNewsPace } from './news-pace';
import type { RelayInstance } from './types';
import { createWatcherDoubts } from './watcher-doubts';

/** What following is made from. */
export interface RelayedSourceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** What is published, read without anybody between. */
  readonly source: StateSource;
  readonly watchers: WatcherClient;
  readonly self: Pick<RelayInstance, 'instanceId' | 'failureDomain'>;
  /** Other instances that are held to be alive. */
  readonly others: () => readonly RelayInstance[];
}

/** What is published, learned from whoever is to tell this instance. */
export interface RelayedSource extends StateSource {
  readonly feed: ChangeFeed;
  /** Monotonic time until which what is known here counts as up to date; in the past where it was never. */
  freshUntilMs(): number;
  /** Whether this instance watches the source itself. */
  isWatching(): boolean;
}

/**
 * Instances that are asked before the source is, in one call. More would take as many timeouts, while a change has to
 * be known within seconds.
 */
const MOST_ASKED = 2;
/** Time for which an answer of the source holds: a watch without news with the longest way, and a late event loop. */
const FRESH_FOR_MS = 1_700;

type Asked<Value> =
  { readonly kind: 'answered'; readonly value: Value } | { readonly kind: 'none' };

/** A source that is watched by few instances and followed by the others. */
export function createRelayedSource(options: RelayedSourceOptions): RelayedSource {
  const { clock, logger, source, watchers, self } = options;
  const feed = createChangeFeed();
  const doubts = createWatcherDoubts();
  const pace = createNewsPace();
  let freshUntilMs = -Infinity;
  let hasRead = false;
  /** Whose word this instance goes by; undefined for the source's own, 'nobody' before the first answer. */
  let followed: string | undefined = 'nobody';

  const noteFollowed = (instanceId: string | undefined): void => {
    if (followed === instanceId) return;
    followed = instanceId;
    if (instanceId === undefined) logger.event(STATE_RELAY_EVENTS.watching);
    else logger.event(STATE_RELAY_EVENTS.following, { peer: instanceId });
  };

  const choose = (): RelayInstance | undefined => {
    const nowMs = clock.monotonicMs();
    return chooseWatcher({
      self,
      others: options.others(),
      isDoubted: (instanceId) => doubts.isDoubted(instanceId, nowMs),
    });
  };

  /** Asks those who come before this instance in the order, as long as they are of no use. */
  const askWatchers = async <Value>(
    ask: (watcher: RelayInstance) => Promise<WatcherAnswer<Value>>,
  ): Promise<Asked<Value>> => {
    for (let asked = 0; asked < MOST_ASKED; asked += 1) {
      const watcher = choose();
      if (watcher === undefined) return { kind: 'none' };
      const { instanceId } = watcher;
      const answer = await ask(watcher);
      if (answer.kind === 'answered') {
        doubts.clear(instanceId);
        noteFollowed(instanceId);
        return answer;
      }
      doubts.note(instanceId, answer.fault, clock.monotonicMs());
      const { fault, reason } = answer;
      logger.event(STATE_RELAY_EVENTS.watcherFailed, { peer: instanceId, fault, reason });
    }
    return { kind: 'none' };
  };

  /** What a watcher holds; of no use where it has not heard yet of a return of the source that is known here. */
  const readFrom = async (
    watcher: RelayInstance,
    signal: AbortSignal,
  ): Promise<WatcherAnswer<PublishedState>> => {
    const answer = await watchers.readAll(watcher.address, signal);
    const isBehind =
      answer.kind === 'answered' && answer.value.position.era < (feed.era() ?? -Infinity);
    return isBehind ? { kind: 'failed', fault: 'notFollowing', reason: 'an era behind' } : answer;
  };

  const noteSourceAnswer = (): void => {
    freshUntilMs = clock.monotonicMs() + FRESH_FOR_MS;
    noteFollowed(undefined);
  };

  const watchSource = async (
    after: Position,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges> => {
    await sleepUntil(clock, pace.nextCallAtMs(), signal);
    try {
      const news = await source.watch(after, waitMs, signal);
      noteSourceAnswer();
      const hasNews = news.kind === 'changes' && news.changes.length > 0;
      if (hasNews) pace.noteNews(clock.monotonicMs());
      return news;
    } catch (error) {
      freshUntilMs = -Infinity;
      throw error;
    }
  };

  const readSource = async (signal: AbortSignal): Promise<PublishedState> => {
    const state = await source.readAll(signal);
    noteSourceAnswer();
    return state;
  };

  return {
    feed,
    freshUntilMs: () => freshUntilMs,
    isWatching: () => followed === undefined,
    async readAll(signal) {
      // The first read of the source is under way before anything else is known.
      const asked = hasRead
        ? await askWatchers((watcher) => readFrom(watcher, signal))
        : ({ kind: 'none' } as const);
      const state = asked.kind === 'answered' ? asked.value : await readSource(signal);
      hasRead = true;
      feed.restart(state.position);
      return state;
    },
    async watch(after, waitMs, signal) {
      const asked = await askWatchers((watcher) =>
        watchers.watch(watcher.address, after, waitMs, signal),
      );
      const news =
        asked.kind === 'answered' ? asked.value : await watchSource(after, waitMs, signal);
      feed.add(after, news);
      return news;
    },
  };
}
