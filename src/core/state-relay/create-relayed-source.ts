import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { Position, PublishedChanges, PublishedState, StateSource } from '../state-sync';
import type { WatcherAnswer, WatcherClient } from './watcher-client';
import { createChangeFeed } from './change-feed';
import type { ChangeFeed } from './change-feed';
import { chooseWatcher } from './choose-watcher';
import { STATE_RELAY_EVENTS } from './events';
import { createCallPacer } from './call-pacer';
import type { RelayInstance } from './types';
import { createWatcherBackoffs } from './watcher-backoffs';

/** Options of a relayed source. */
export interface RelayedSourceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The source itself, read directly. */
  readonly source: StateSource;
  readonly watchers: WatcherClient;
  readonly self: Pick<RelayInstance, 'instanceId' | 'failureDomain'>;
  /** Returns the other instances that are considered alive. */
  readonly others: () => readonly RelayInstance[];
}

/** A source of published state that is read from the watcher of this instance, or directly if it has none. */
export interface RelayedSource extends StateSource {
  readonly feed: ChangeFeed;
  /** Returns the monotonic time until which the local state counts as up to date; in the past if it never was. */
  freshUntilMs(): number;
  /** Returns whether this instance watches the source itself. */
  isWatching(): boolean;
}

/**
 * Maximum number of watchers that one call tries before the source. Each further one could add a timeout, while a
 * change has to be known within seconds.
 */
const MAX_WATCHERS_PER_CALL = 2;
/** How long an answer of the source is valid, ms: a watch without changes over the longest link plus event loop lag. */
const FRESHNESS_TTL_MS = 1_700;

type WatcherResult<Value> =
  { readonly kind: 'answered'; readonly value: Value } | { readonly kind: 'none' };

/** Creates a source that few instances watch and the others follow. */
export function createRelayedSource(options: RelayedSourceOptions): RelayedSource {
  const { clock, logger, source, watchers, self } = options;
  const feed = createChangeFeed();
  const backoffs = createWatcherBackoffs();
  const pacer = createCallPacer();
  let freshUntilMs = -Infinity;
  let hasRead = false;
  /** The watcher that this instance follows; undefined for the source itself, 'nobody' before the first answer. */
  let followedInstanceId: string | undefined = 'nobody';

  const recordFollowed = (instanceId: string | undefined): void => {
    if (followedInstanceId === instanceId) return;
    followedInstanceId = instanceId;
    if (instanceId === undefined) logger.event(STATE_RELAY_EVENTS.watching);
    else logger.event(STATE_RELAY_EVENTS.following, { peer: instanceId });
  };

  const chooseNextWatcher = (): RelayInstance | undefined => {
    const nowMs = clock.monotonicMs();
    return chooseWatcher({
      self,
      others: options.others(),
      isBackedOff: (instanceId) => backoffs.isBackedOff(instanceId, nowMs),
    });
  };

  /** Calls the instances ranked before this one until one answers as a watcher or the maximum is reached. */
  const callWatchers = async <Value>(
    call: (watcher: RelayInstance) => Promise<WatcherAnswer<Value>>,
  ): Promise<WatcherResult<Value>> => {
    for (let attempts = 0; attempts < MAX_WATCHERS_PER_CALL; attempts += 1) {
      const watcher = chooseNextWatcher();
      if (watcher === undefined) return { kind: 'none' };
      const { instanceId } = watcher;
      const answer = await call(watcher);
      if (answer.kind === 'answered') {
        backoffs.clear(instanceId);
        recordFollowed(instanceId);
        return answer;
      }
      backoffs.recordFailure(instanceId, answer.fault, clock.monotonicMs());
      const { fault, reason } = answer;
      logger.event(STATE_RELAY_EVENTS.watcherFailed, { peer: instanceId, fault, reason });
    }
    return { kind: 'none' };
  };

  /** Reads the state of a watcher; fails if the watcher has not seen a restore of the source that is known here. */
  const readFromWatcher = async (
    watcher: RelayInstance,
    signal: AbortSignal,
  ): Promise<WatcherAnswer<PublishedState>> => {
    const answer = await watchers.readAll(watcher.address, signal);
    const isBehind =
      answer.kind === 'answered' && answer.value.position.era < (feed.era() ?? -Infinity);
    return isBehind ? { kind: 'failed', fault: 'notFollowing', reason: 'an era behind' } : answer;
  };

  const recordSourceAnswer = (): void => {
    freshUntilMs = clock.monotonicMs() + FRESHNESS_TTL_MS;
    recordFollowed(undefined);
  };

  const watchSource = async (
    after: Position,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges> => {
    await sleepUntil(clock, pacer.nextCallAtMs(), signal);
    try {
      const update = await source.watch(after, waitMs, signal);
      recordSourceAnswer();
      const hasChanges = update.kind === 'changes' && update.changes.length > 0;
      if (hasChanges) pacer.recordChanges(clock.monotonicMs());
      return update;
    } catch (error) {
      freshUntilMs = -Infinity;
      throw error;
    }
  };

  const readSource = async (signal: AbortSignal): Promise<PublishedState> => {
    const state = await source.readAll(signal);
    recordSourceAnswer();
    return state;
  };

  return {
    feed,
    freshUntilMs: () => freshUntilMs,
    isWatching: () => followedInstanceId === undefined,
    async readAll(signal) {
      // The first read goes to the source directly, since other instances are not known yet.
      const result = hasRead
        ? await callWatchers((watcher) => readFromWatcher(watcher, signal))
        : ({ kind: 'none' } as const);
      const state = result.kind === 'answered' ? result.value : await readSource(signal);
      hasRead = true;
      feed.restart(state.position);
      return state;
    },
    // Other instances keep only what they have seen themselves, so that the source is asked.
    ...(source.readPast === undefined ? {} : { readPast: source.readPast.bind(source) }),
    async watch(after, waitMs, signal) {
      const result = await callWatchers((watcher) =>
        watchers.watch(watcher.address, after, waitMs, signal),
      );
      const update =
        result.kind === 'answered' ? result.value : await watchSource(after, waitMs, signal);
      feed.add(after, update);
      return update;
    },
  };
}
