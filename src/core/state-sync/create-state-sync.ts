import { createKeyedTimers, sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { RouteTableStore } from '../host-routes';
import type { RandomSource } from '../random';
import type { ServerRegistry } from '../server-registry';
import { createServerQuarantine } from './server-quarantine';
import { STATE_SYNC_EVENTS } from './events';
import { createRoutesCatchUp } from './routes-catch-up';
import { isLater } from './position';
import type { Position } from './position';
import type {
  PublishedChange,
  PublishedItem,
  PublishedState,
  RoutesItem,
  ServerItem,
  StateSource,
  UnreadableItem,
} from './types';

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
/** Delay of removals after a source outage, ms: running servers announce themselves again within about two seconds. */
const REMOVAL_GRACE_MS = 2_500;

/** Position before the first read. */
const INITIAL_POSITION: Position = { era: 0, revision: 0 };

/** Creates an empty copy that is filled and kept up to date after `start`. */
export function createStateSync(options: StateSyncOptions): StateSync {
  const { clock, random, logger, source, routes, servers } = options;
  const stopController = new AbortController();
  const routesItems = new Map<number, PublishedItem>();
  const announcements = new Map<string, ServerItem>();
  let position: Position | undefined;
  let failureCount = 0;
  let lastAnswerAtMs = -Infinity;
  let followedSinceMs: number | undefined;
  let sourceRegainedAtMs = -Infinity;
  /** Monotonic time of the first answer of the source after it was restored from an older backup, ms. */
  let sourceRestoredAtMs = -Infinity;
  let isPeerRequestPending = false;
  /** Position of the last read; kept when `position` is reset because the history is gone. */
  let lastReadPosition: Position | undefined;
  /** Era in which the routes in force were written. */
  let routesEra = 0;
  /** Timers of removals that wait for the server to announce itself again, by server id. */
  const pendingRemovals = createKeyedTimers(clock);
  /** Timers of evacuations that end unless they are published again, by failure domain. */
  const pendingEvacuationEnds = createKeyedTimers(clock);
  let watchTask: Promise<void> = Promise.resolve();

  const quarantine = createServerQuarantine(clock, putServer);

  function putServer(item: ServerItem): void {
    const { announcement } = item;
    quarantine.clear(announcement.serverId);
    const before = servers.get(announcement.serverId);
    servers.put(announcement, clock.monotonicMs());
    const after = servers.get(announcement.serverId);
    const isOfEarlierStart = after?.startedAtUnixMs !== announcement.startedAtUnixMs;
    if (isOfEarlierStart) return;
    announcements.set(announcement.serverId, item);
    pendingRemovals.cancel(announcement.serverId);
    const wasCold = (before?.coldUntilMs ?? 0) > clock.monotonicMs();
    const isChanged =
      before?.incarnationId !== after?.incarnationId ||
      before?.isDraining !== announcement.isDraining ||
      wasCold !== announcement.coldForMs > 0;
    if (!isChanged) return;
    const { serverId, service, address, isDraining, coldForMs } = announcement;
    const state = isDraining ? 'draining' : 'ready';
    const server = after?.incarnationId ?? serverId;
    const softwareVersion = after?.softwareVersion;
    const fields = { server, service, softwareVersion, address, state, coldForMs };
    logger.event(STATE_SYNC_EVENTS.serverChanged, fields);
  }

  const setEvacuated = (failureDomain: string, isEvacuated: boolean): void => {
    pendingEvacuationEnds.cancel(failureDomain);
    if (servers.evacuatedDomains().includes(failureDomain) === isEvacuated) return;
    servers.setEvacuated(failureDomain, isEvacuated, clock.monotonicMs());
    logger.event(STATE_SYNC_EVENTS.evacuationChanged, { failureDomain, isEvacuated });
  };

  /**
   * Puts a version of the routes in force unless a later one is. If it was written in a later era, it also replaces
   * routes of the same version, which belong to the history that was lost when the source was restored.
   */
  const putRoutes = (item: RoutesItem, era: number): void => {
    const { table } = item;
    const inForce = routes.current()?.table.version;
    if (inForce !== undefined && table.version < inForce) {
      logger.event(STATE_SYNC_EVENTS.olderRoutesIgnored, { version: table.version, inForce });
    }
    const isAccepted = era > routesEra ? routes.offerRewritten(table) : routes.offer(table);
    if (!isAccepted) return;
    routesEra = era;
    routesItems.clear();
    routesItems.set(table.version, item);
    logger.event(STATE_SYNC_EVENTS.routesInForce, {
      version: table.version,
      routes: table.routes.length,
      accounts: table.accounts?.length,
      damagedAccounts: table.damagedAccounts,
      accountsSharingKeys: routes.current()?.accounts?.accountsSharingKeys,
    });
    options.onRoutesChanged?.();
  };

  const putItem = (item: PublishedItem, era: number): void => {
    switch (item.kind) {
      case 'routes':
        putRoutes(item, era);
        return;
      case 'server':
        putServer(item);
        return;
      case 'evacuation':
        setEvacuated(item.failureDomain, true);
        return;
      default:
        item satisfies never;
    }
  };

  const removeServer = (serverId: string): void => {
    if (servers.get(serverId) === undefined) return;
    servers.remove(serverId);
    announcements.delete(serverId);
    quarantine.recordRemoval(serverId);
    logger.event(STATE_SYNC_EVENTS.serverChanged, { server: serverId, state: 'gone' });
  };

  /**
   * Logs an unreadable item and, if it should describe a server, removes that server at once. The previous entry of the
   * server is no longer valid: the server may have left, or another one may use its address.
   */
  const handleUnreadable = ({ key, serverId, reason }: UnreadableItem): void => {
    logger.event(STATE_SYNC_EVENTS.itemUnreadable, { key, reason });
    if (serverId !== undefined) removeServer(serverId);
  };

  /**
   * Removes a server, after a grace period if the source has just recovered from an outage. Entries expire while the
   * source is unavailable and their removals are reported once it returns, although the servers still run and announce
   * themselves again at once. If all of them were removed until then, every request would be refused.
   */
  const removeServerAfterGrace = (serverId: string): void => {
    const removeAtMs = sourceRegainedAtMs + REMOVAL_GRACE_MS;
    const removedItem = announcements.get(serverId);
    if (clock.monotonicMs() >= removeAtMs || removedItem === undefined) {
      removeServer(serverId);
      return;
    }
    pendingRemovals.set(serverId, removeAtMs, () => {
      if (announcements.get(serverId) === removedItem) removeServer(serverId);
    });
  };

  const applyChange = (change: PublishedChange, era: number): void => {
    switch (change.kind) {
      case 'put':
        putItem(change.item, era);
        return;
      case 'serverGone':
        quarantine.recordRemoval(change.serverId);
        removeServerAfterGrace(change.serverId);
        return;
      case 'evacuationEnded':
        setEvacuated(change.failureDomain, false);
        return;
      case 'unreadable':
        handleUnreadable(change.item);
        return;
      default:
        change satisfies never;
    }
  };

  /**
   * Ends an evacuation that the source no longer holds, after a grace period if the source was restored. An evacuation
   * that is missing in an older backup is published again within the time in which servers reappear. Ending it before
   * would admit requests to a failure domain that operators are working on.
   */
  const endEvacuationAfterGrace = (failureDomain: string): void => {
    const endAtMs = sourceRestoredAtMs + REMOVAL_GRACE_MS;
    if (clock.monotonicMs() >= endAtMs) {
      setEvacuated(failureDomain, false);
      return;
    }
    pendingEvacuationEnds.set(failureDomain, endAtMs, () => setEvacuated(failureDomain, false));
  };

  const applyState = (state: PublishedState): void => {
    const { era } = state.position;
    const isSourceRestored = lastReadPosition !== undefined && era > lastReadPosition.era;
    for (const item of state.unreadable) handleUnreadable(item);
    for (const item of state.items) {
      const isHeld = isSourceRestored && item.kind === 'server' && quarantine.holdIfRemoved(item);
      if (!isHeld) putItem(item, era);
    }
    const evacuated = new Set(
      state.items.flatMap((item) => (item.kind === 'evacuation' ? [item.failureDomain] : [])),
    );
    for (const domain of servers.evacuatedDomains()) {
      if (!evacuated.has(domain)) endEvacuationAfterGrace(domain);
    }
  };

  const removeMissing = (state: PublishedState): void => {
    const listed = new Set(
      state.items.flatMap((item) => (item.kind === 'server' ? [item.announcement.serverId] : [])),
    );
    for (const { serverId } of servers.all()) {
      if (!listed.has(serverId)) removeServerAfterGrace(serverId);
    }
  };

  const recordAnswer = (): void => {
    lastAnswerAtMs = clock.monotonicMs();
    if (failureCount > 0) sourceRegainedAtMs = clock.monotonicMs();
    if (failureCount >= MIN_FAILURES_TO_LOG) logger.event(STATE_SYNC_EVENTS.sourceRegained);
    failureCount = 0;
    followedSinceMs ??= clock.monotonicMs();
  };

  /** Records and logs a restore of the source from an older backup, which is detected by a later era. */
  const detectRestoredSource = (current: Position): void => {
    if (lastReadPosition === undefined || current.era <= lastReadPosition.era) return;
    sourceRegainedAtMs = clock.monotonicMs();
    sourceRestoredAtMs = sourceRegainedAtMs;
    logger.event(STATE_SYNC_EVENTS.sourceRestored, {
      era: current.era,
      revision: current.revision,
      eraBefore: lastReadPosition.era,
      revisionBefore: lastReadPosition.revision,
    });
  };

  const readCompleteState = async (): Promise<void> => {
    const state = await source.readAll(stopController.signal);
    recordAnswer();
    detectRestoredSource(state.position);
    applyState(state);
    removeMissing(state);
    position = state.position;
    lastReadPosition = position;
  };

  const routesCatchUp = createRoutesCatchUp({
    clock,
    routes,
    latestPeerVersion: options.latestPeerVersion,
    readPeerState: () => options.readPeerState(stopController.signal),
    applyRoutes: (item) => putRoutes(item, routesEra),
  });

  const watchOnce = async (after: Position): Promise<void> => {
    const waitMs = failureCount === 0 ? WATCH_WAIT_MS : PROBE_WAIT_MS;
    const update = await source.watch(after, waitMs, stopController.signal);
    recordAnswer();
    if (update.kind === 'historyGone') {
      position = undefined;
      followedSinceMs = undefined;
      return;
    }
    for (const change of update.changes) applyChange(change, update.position.era);
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
    detectRestoredSource(state.position);
    applyState(state);
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

  /** Returns an announcement with its current cold time; with the original one, a warm server would look cold. */
  const withCurrentColdTime = (item: ServerItem): ServerItem => {
    const coldUntilMs = servers.get(item.announcement.serverId)?.coldUntilMs ?? 0;
    const coldForMs = Math.max(0, coldUntilMs - clock.monotonicMs());
    return { ...item, announcement: { ...item.announcement, coldForMs } };
  };

  /**
   * Returns the announcements without servers whose removal is pending. An instance that started with one of those
   * would never see its removal, which came before the revision from which that instance continues.
   */
  const currentAnnouncements = (): readonly ServerItem[] =>
    [...announcements].flatMap(([serverId, item]) => (pendingRemovals.has(serverId) ? [] : [item]));

  return {
    start() {
      watchTask = run();
    },
    snapshot: () => ({
      position: position ?? INITIAL_POSITION,
      items: [
        ...routesItems.values(),
        ...currentAnnouncements().map(withCurrentColdTime),
        ...quarantine.items(),
        ...servers.evacuatedDomains().map((failureDomain) => ({
          kind: 'evacuation' as const,
          failureDomain,
        })),
      ],
      unreadable: [],
    }),
    followedSinceMs() {
      const isOverdue = clock.monotonicMs() - lastAnswerAtMs > WATCH_WAIT_MS + OVERDUE_GRACE_MS;
      return isOverdue ? undefined : followedSinceMs;
    },
    async [Symbol.asyncDispose]() {
      stopController.abort();
      pendingRemovals[Symbol.dispose]();
      pendingEvacuationEnds[Symbol.dispose]();
      quarantine[Symbol.dispose]();
      await watchTask;
    },
  };
}
