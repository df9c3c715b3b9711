import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { RouteTable, RouteTableStore } from '../host-routes';
import type { RandomSource } from '../random';
import type { ServerRegistry } from '../server-registry';
import { checkPast } from './check-past';
import { STATE_SYNC_EVENTS } from './events';
import type { FollowedChanges } from './followed-changes';
import { createItemsInForce } from './items-in-force';
import { createRoutesCatchUp } from './routes-catch-up';
import { isLater } from './position';
import type { Position } from './position';
import type { PublishedState, StateSource } from './types';

/** Options of the local copy of published state. */
export interface StateSyncOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly source: StateSource;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  /** Called after another version of the routes has come into force. */
  readonly onRoutesChanged?: () => void;
  /** Called with each route table that was in force before the first read, as far as the source tells of it. */
  readonly onPastRoutes?: (table: RouteTable) => void;
  /** Reads the state of another instance while the source is unavailable; undefined if none answers. Never rejects. */
  readonly readPeerState: (signal: AbortSignal) => Promise<PublishedState | undefined>;
  /** Returns the highest version of the routes known to be in force at another instance; 0 if none is known. */
  readonly latestPeerVersion: () => number;
}

/** A local copy of published state, kept up to date by watching the source. */
export interface StateSync extends AsyncDisposable {
  start(): void;
  /** Returns the complete copy, for another instance that cannot reach the source. */
  snapshot(): PublishedState;
  /** Returns the monotonic time since which no published change was missed; undefined while changes may be missed. */
  followedSinceMs(): number | undefined;
  /** Returns for which time all published changes are known here. */
  followedChanges(): FollowedChanges;
}

/** Base of the backoff after failed calls, ms; doubles with each failure. Short, as changes are due within seconds. */
const BASE_BACKOFF_MS = 100;
/** Maximum backoff, ms: a recovered source is noticed within this time, at one call per second and instance. */
const MAX_BACKOFF_MS = 1_000;
/**
 * Maximum wait of one watch, ms. A connection that stopped responding is detected slightly later than this, which has
 * to be well within the seconds in which a change must come into force.
 */
const WATCH_WAIT_MS = 1_000;
/** Time past its wait until a watch is overdue, ms: pause in source calls after changes plus the longest round trip. */
const OVERDUE_GRACE_MS = 700;
/** Wait of a watch that only checks whether the source answers again, ms. */
const PROBE_WAIT_MS = 100;
/** Consecutive failed calls before the outage is logged: a single lost connection is not an outage. */
const MIN_FAILURES_TO_LOG = 2;

/** Position before the first read. */
const INITIAL_POSITION: Position = { era: 0, revision: 0 };

/** Creates an empty copy that is filled and kept up to date after `start`. */
export function createStateSync(options: StateSyncOptions): StateSync {
  const { clock, random, logger, source, routes } = options;
  const stopController = new AbortController();
  const inForce = createItemsInForce(options);
  let position: Position | undefined;
  let failureCount = 0;
  let lastAnswerAtMs = -Infinity;
  let followedSinceMs: number | undefined;
  let allKnownSinceMs: number | undefined;
  let knownFrom: Position | undefined;
  /** The last complete read, while the source is asked for the changes before it. */
  let checkedState: PublishedState | undefined;
  let isPeerRequestPending = false;
  /** Position of the last read; kept when `position` is reset because the history is gone. */
  let lastReadPosition: Position | undefined;
  let watchTask: Promise<void> = Promise.resolve();

  const recordAnswer = (): void => {
    lastAnswerAtMs = clock.monotonicMs();
    if (failureCount > 0) inForce.recordRegained();
    if (failureCount >= MIN_FAILURES_TO_LOG) logger.event(STATE_SYNC_EVENTS.sourceRegained);
    failureCount = 0;
    followedSinceMs ??= clock.monotonicMs();
  };

  /** Returns whether the source was restored from an older backup, which shows by a later era; records and logs it. */
  const detectRestoredSource = (current: Position): boolean => {
    if (lastReadPosition === undefined || current.era <= lastReadPosition.era) return false;
    inForce.recordRestored();
    logger.event(STATE_SYNC_EVENTS.sourceRestored, {
      era: current.era,
      revision: current.revision,
      eraBefore: lastReadPosition.era,
      revisionBefore: lastReadPosition.revision,
    });
    return true;
  };

  /** Finds out whether nothing before a complete read is unknown. This is never awaited, as the source may be slow. */
  const startPastCheck = async (state: PublishedState): Promise<void> => {
    checkedState = state;
    const isAllKnown = await checkPast(options, state, stopController.signal);
    if (checkedState !== state) return;
    checkedState = undefined;
    if (isAllKnown) allKnownSinceMs = -Infinity;
  };

  const readCompleteState = async (): Promise<void> => {
    const state = await source.readAll(stopController.signal);
    recordAnswer();
    inForce.applyState(state, detectRestoredSource(state.position));
    inForce.removeMissing(state);
    position = state.position;
    lastReadPosition = position;
    allKnownSinceMs = clock.monotonicMs();
    knownFrom = position;
    void startPastCheck(state);
  };

  const routesCatchUp = createRoutesCatchUp({
    clock,
    routes,
    latestPeerVersion: options.latestPeerVersion,
    readPeerState: () => options.readPeerState(stopController.signal),
    applyRoutes: (item) => inForce.applyPeerRoutes(item),
  });

  const watchOnce = async (after: Position): Promise<void> => {
    const waitMs = failureCount === 0 ? WATCH_WAIT_MS : PROBE_WAIT_MS;
    const update = await source.watch(after, waitMs, stopController.signal);
    recordAnswer();
    if (update.kind === 'historyGone') {
      position = undefined;
      followedSinceMs = undefined;
      allKnownSinceMs = undefined;
      checkedState = undefined;
      return;
    }
    for (const change of update.changes) inForce.applyChange(change, update.position.era);
    position = update.position;
    lastReadPosition = position;
    routesCatchUp.check();
  };

  /**
   * Requests the state of another instance and applies it if it is later than the local one. This is never awaited, so
   * that an instance that does not answer cannot delay the detection that the source is back.
   */
  const applyPeerState = async (): Promise<void> => {
    if (isPeerRequestPending) return;
    isPeerRequestPending = true;
    const state = await options.readPeerState(stopController.signal);
    isPeerRequestPending = false;
    if (state === undefined || failureCount === 0) return;
    if (position !== undefined && !isLater(state.position, position)) return;
    inForce.applyState(state, detectRestoredSource(state.position));
    logger.event(STATE_SYNC_EVENTS.copiedFromPeer, { ...state.position });
  };

  const handleFailure = async (error: unknown): Promise<void> => {
    failureCount += 1;
    followedSinceMs = undefined;
    if (failureCount === MIN_FAILURES_TO_LOG) {
      logger.event(STATE_SYNC_EVENTS.sourceLost, { reason: errorText(error) });
    }
    void applyPeerState();
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** Math.min(failureCount, 10));
    // Jitter: instances that lost the source at the same time must not return to it in step.
    const delayMs = maxDelayMs * (0.5 + random.next() / 2);
    await sleepUntil(clock, clock.monotonicMs() + delayMs, stopController.signal);
  };

  const run = async (): Promise<void> => {
    while (!stopController.signal.aborted) {
      try {
        if (position === undefined) await readCompleteState();
        else await watchOnce(position);
      } catch (error) {
        if (!stopController.signal.aborted) await handleFailure(error);
      }
    }
  };

  const isOverdue = (): boolean =>
    clock.monotonicMs() - lastAnswerAtMs > WATCH_WAIT_MS + OVERDUE_GRACE_MS;

  return {
    start() {
      watchTask = run();
    },
    snapshot: () => ({
      position: position ?? INITIAL_POSITION,
      items: inForce.items(),
      unreadable: [],
    }),
    followedSinceMs: () => (isOverdue() ? undefined : followedSinceMs),
    followedChanges: () => ({
      allKnownSinceMs,
      knownFrom,
      knownUpTo: position,
      isCurrent: !isOverdue() && followedSinceMs !== undefined,
      isPastPending: checkedState !== undefined,
    }),
    async [Symbol.asyncDispose]() {
      stopController.abort();
      inForce[Symbol.dispose]();
      await watchTask;
    },
  };
}
