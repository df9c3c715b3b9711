import { createKeyedTimers, sleepUntil } from '../clock';
import type { Clock } from '../clock';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { RouteTableStore } from '../host-routes';
import type { RandomSource } from '../random';
import type { ServerRegistry } from '../server-registry';
import { createDoubtedEntries } from './doubted-entries';
import { STATE_SYNC_EVENTS } from './events';
import { createLaterRoutes } from './later-routes';
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

/** What the copy is kept with. */
export interface StateSyncOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly source: StateSource;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  /** Routes of another version are in force. */
  readonly onRoutes?: () => void;
  /** What another instance has, when the source does not answer; undefined when it does not answer. Never rejects. */
  readonly askPeer: (signal: AbortSignal) => Promise<PublishedState | undefined>;
  /** Highest version of the routes that another instance has in force, as far as is known; 0 for none. */
  readonly latestElsewhere: () => number;
}

/** A copy of what is published, kept up to date by a watch. */
export interface StateSync extends AsyncDisposable {
  start(): void;
  /** Everything that is held here, for another instance that cannot reach the source. */
  snapshot(): PublishedState;
  /**
   * Monotonic time since which every change of what is published has been seen; undefined while changes may be missed.
   */
  followedSinceMs(): number | undefined;
}

/** First rest after a failed call; doubles up to the longest. Short, since changes are due within seconds. */
const FIRST_REST_MS = 100;
/** Longest rest: a source that is back is noticed within this time, at one call a second and instance. */
const LONGEST_REST_MS = 1_000;
/**
 * Longest wait of one watch. A connection that has gone silent is noticed a little later than this, which has to
 * be well within the seconds in which a change has to be in force.
 */
const WATCH_WAIT_MS = 1_000;
/** Time beyond its wait after which a watch is overdue, ms: the rest after news, and a round trip of the longest links. */
const OVERDUE_AFTER_MS = 700;
/** Wait of a watch that only has to show whether the source answers again. */
const DOUBT_WAIT_MS = 100;
/** Calls that fail in a row before an operator is told: one lost connection is no outage. */
const FAILURES_TO_TELL = 2;
/**
 * How long entries may be missing after an outage of the source before they count as gone: servers that live
 * announce themselves again within about two seconds of its return.
 */
const REAPPEAR_WITHIN_MS = 2_500;

/** Position of whoever has read nothing. */
const NOWHERE: Position = { era: 0, revision: 0 };

/** A copy that holds nothing yet. */
export function createStateSync(options: StateSyncOptions): StateSync {
  const { clock, random, logger, source, routes, servers } = options;
  const stopping = new AbortController();
  const tables = new Map<number, PublishedItem>();
  const announcements = new Map<string, ServerItem>();
  let position: Position | undefined;
  let failures = 0;
  let lastAnswerAtMs = -Infinity;
  let followedSinceMs: number | undefined;
  let regainedAtMs = -Infinity;
  /** When the source was first heard after it came back from an older copy, monotonic ms. */
  let restoredAtMs = -Infinity;
  let isAskingPeer = false;
  /** What was read last, whether it still holds or not. */
  let lastRead: Position | undefined;
  /** Era in which the routes in force were written. */
  let routesEra = 0;
  /** Timers of removals that wait for the server to come back, by server. */
  const deferred = createKeyedTimers(clock);
  /** Timers of evacuations that wait to be published again, by failure domain. */
  const endingEvacuations = createKeyedTimers(clock);
  let task: Promise<void> = Promise.resolve();

  const doubted = createDoubtedEntries(clock, putServer);

  function putServer(item: ServerItem): void {
    const { announcement } = item;
    doubted.drop(announcement.serverId);
    const before = servers.get(announcement.serverId);
    servers.put(announcement, clock.monotonicMs());
    const after = servers.get(announcement.serverId);
    const isOfEarlierStart = after?.startedAtUnixMs !== announcement.startedAtUnixMs;
    if (isOfEarlierStart) return;
    announcements.set(announcement.serverId, item);
    deferred.cancel(announcement.serverId);
    const wasCold = (before?.coldUntilMs ?? 0) > clock.monotonicMs();
    const isNews =
      before?.incarnationId !== after?.incarnationId ||
      before?.isDraining !== announcement.isDraining ||
      wasCold !== announcement.coldForMs > 0;
    if (!isNews) return;
    const { serverId, service, address, isDraining, coldForMs } = announcement;
    const state = isDraining ? 'draining' : 'ready';
    const fields = { server: after?.incarnationId ?? serverId, service, address, state, coldForMs };
    logger.event(STATE_SYNC_EVENTS.serverChanged, fields);
  }

  const setEvacuated = (failureDomain: string, isEvacuated: boolean): void => {
    endingEvacuations.cancel(failureDomain);
    if (servers.evacuated().includes(failureDomain) === isEvacuated) return;
    servers.setEvacuated(failureDomain, isEvacuated, clock.monotonicMs());
    logger.event(STATE_SYNC_EVENTS.evacuationChanged, { failureDomain, isEvacuated });
  };

  /** What is written in a later era goes before what stood under the same version in one that is lost. */
  const putRoutes = (item: RoutesItem, era: number): void => {
    const { table } = item;
    const inForce = routes.current()?.table.version;
    if (inForce !== undefined && table.version < inForce) {
      logger.event(STATE_SYNC_EVENTS.olderRoutesPassedOver, { version: table.version, inForce });
    }
    const isOffered = era > routesEra ? routes.offerAgain(table) : routes.offer(table);
    if (!isOffered) return;
    routesEra = era;
    tables.clear();
    tables.set(table.version, item);
    logger.event(STATE_SYNC_EVENTS.routesInForce, {
      version: table.version,
      routes: table.routes.length,
      accounts: table.accounts?.length,
      damagedAccounts: table.damagedAccounts,
      accountsSharingKeys: routes.current()?.accounts?.sharingKeys,
    });
    options.onRoutes?.();
  };

  const put = (item: PublishedItem, era: number): void => {
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
    doubted.noteGone(serverId);
    logger.event(STATE_SYNC_EVENTS.serverChanged, { server: serverId, state: 'gone' });
  };

  /**
   * An entry that cannot be read ends what stood there before, at once: a server that is still sent to by its old
   * entry may have left, or may be another one by now.
   */
  const noteUnreadable = ({ key, serverId, reason }: UnreadableItem): void => {
    logger.event(STATE_SYNC_EVENTS.itemUnreadable, { key, reason });
    if (serverId !== undefined) removeServer(serverId);
  };

  /**
   * Entries lapse while the source is away, and their removal is told when it is back, although the servers
   * live and announce themselves again at once. Taking all of them out of use for that moment would refuse
   * every request; so right after an outage a removal waits for the server to come back.
   */
  const removeWhenSure = (serverId: string): void => {
    const sureAtMs = regainedAtMs + REAPPEAR_WITHIN_MS;
    const goneItem = announcements.get(serverId);
    if (clock.monotonicMs() >= sureAtMs || goneItem === undefined) {
      removeServer(serverId);
      return;
    }
    deferred.set(serverId, sureAtMs, () => {
      if (announcements.get(serverId) === goneItem) removeServer(serverId);
    });
  };

  const apply = (change: PublishedChange, era: number): void => {
    switch (change.kind) {
      case 'put':
        put(change.item, era);
        return;
      case 'serverGone':
        doubted.noteGone(change.serverId);
        removeWhenSure(change.serverId);
        return;
      case 'evacuationEnded':
        setEvacuated(change.failureDomain, false);
        return;
      case 'unreadable':
        noteUnreadable(change.item);
        return;
      default:
        change satisfies never;
    }
  };

  /**
   * An evacuation that an older copy does not hold is published again within the time in which servers are back. Ended
   * meanwhile, it would let requests in where operators are at work.
   */
  const endEvacuationWhenSure = (failureDomain: string): void => {
    const sureAtMs = restoredAtMs + REAPPEAR_WITHIN_MS;
    if (clock.monotonicMs() >= sureAtMs) {
      setEvacuated(failureDomain, false);
      return;
    }
    endingEvacuations.set(failureDomain, sureAtMs, () => setEvacuated(failureDomain, false));
  };

  const applyAll = (state: PublishedState): void => {
    const { era } = state.position;
    const isOlderCopy = lastRead !== undefined && era > lastRead.era;
    for (const item of state.unreadable) noteUnreadable(item);
    for (const item of state.items) {
      const isHeld = isOlderCopy && item.kind === 'server' && doubted.hold(item);
      if (!isHeld) put(item, era);
    }
    const evacuated = new Set(
      state.items.flatMap((item) => (item.kind === 'evacuation' ? [item.failureDomain] : [])),
    );
    for (const domain of servers.evacuated()) {
      if (!evacuated.has(domain)) endEvacuationWhenSure(domain);
    }
  };

  const removeMissing = (state: PublishedState): void => {
    const listed = new Set(
      state.items.flatMap((item) => (item.kind === 'server' ? [item.announcement.serverId] : [])),
    );
    for (const { serverId } of servers.all()) {
      if (!listed.has(serverId)) removeWhenSure(serverId);
    }
  };

  const noteAnswer = (): void => {
    lastAnswerAtMs = clock.monotonicMs();
    if (failures > 0) regainedAtMs = clock.monotonicMs();
    if (failures >= FAILURES_TO_TELL) logger.event(STATE_SYNC_EVENTS.sourceRegained);
    failures = 0;
    followedSinceMs ??= clock.monotonicMs();
  };

  /** The source has come back from an older copy where the era is a later one. */
  const noteEra = (after: Position): void => {
    if (lastRead === undefined || after.era <= lastRead.era) return;
    regainedAtMs = clock.monotonicMs();
    restoredAtMs = regainedAtMs;
    logger.event(STATE_SYNC_EVENTS.sourceRestored, {
      era: after.era,
      revision: after.revision,
      eraBefore: lastRead.era,
      revisionBefore: lastRead.revision,
    });
  };

  const readAgain = async (): Promise<void> => {
    const state = await source.readAll(stopping.signal);
    noteAnswer();
    noteEra(state.position);
    applyAll(state);
    removeMissing(state);
    position = state.position;
    lastRead = position;
  };

  const laterRoutes = createLaterRoutes({
    clock,
    routes,
    latestElsewhere: options.latestElsewhere,
    askPeer: () => options.askPeer(stopping.signal),
    take: (item) => putRoutes(item, routesEra),
  });

  const watchOnce = async (after: Position): Promise<void> => {
    const waitMs = failures === 0 ? WATCH_WAIT_MS : DOUBT_WAIT_MS;
    const news = await source.watch(after, waitMs, stopping.signal);
    noteAnswer();
    if (news.kind === 'historyGone') {
      position = undefined;
      followedSinceMs = undefined;
      return;
    }
    for (const change of news.changes) apply(change, news.position.era);
    position = news.position;
    lastRead = position;
    laterRoutes.look();
  };

  /**
   * Takes over what another instance has. Nothing waits for this: an instance that does not answer must not keep
   * this one from noticing that the source is back.
   */
  const askPeer = async (): Promise<void> => {
    if (isAskingPeer) return;
    isAskingPeer = true;
    const state = await options.askPeer(stopping.signal);
    isAskingPeer = false;
    if (state === undefined || failures === 0) return;
    if (position !== undefined && !isLater(state.position, position)) return;
    noteEra(state.position);
    applyAll(state);
    logger.event(STATE_SYNC_EVENTS.takenFromPeer, { ...state.position });
  };

  const noteFailure = async (error: unknown): Promise<void> => {
    failures += 1;
    followedSinceMs = undefined;
    if (failures === FAILURES_TO_TELL) {
      logger.event(STATE_SYNC_EVENTS.sourceLost, { reason: errorText(error) });
    }
    void askPeer();
    const longestMs = Math.min(LONGEST_REST_MS, FIRST_REST_MS * 2 ** Math.min(failures, 10));
    // Instances that lost the source together must not come back to it in step.
    const restMs = longestMs * (0.5 + random.next() / 2);
    await sleepUntil(clock, clock.monotonicMs() + restMs, stopping.signal);
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        if (position === undefined) await readAgain();
        else await watchOnce(position);
      } catch (error) {
        if (!stopping.signal.aborted) await noteFailure(error);
      }
    }
  };

  /** An announcement as it would be made now; one from long ago would make a warm server look cold. */
  const asOfNow = (item: ServerItem): ServerItem => {
    const coldUntilMs = servers.get(item.announcement.serverId)?.coldUntilMs ?? 0;
    const coldForMs = Math.max(0, coldUntilMs - clock.monotonicMs());
    return { ...item, announcement: { ...item.announcement, coldForMs } };
  };

  /**
   * Without servers whose removal is only waited out here: an instance that began with one of them would never hear
   * of its removal, which came before the revision that it goes on from.
   */
  const listedAnnouncements = (): readonly ServerItem[] =>
    [...announcements].flatMap(([serverId, item]) => (deferred.has(serverId) ? [] : [item]));

  return {
    start() {
      task = run();
    },
    snapshot: () => ({
      position: position ?? NOWHERE,
      items: [
        ...tables.values(),
        ...listedAnnouncements().map(asOfNow),
        ...doubted.items(),
        ...servers.evacuated().map((failureDomain) => ({
          kind: 'evacuation' as const,
          failureDomain,
        })),
      ],
      unreadable: [],
    }),
    followedSinceMs() {
      const isOverdue = clock.monotonicMs() - lastAnswerAtMs > WATCH_WAIT_MS + OVERDUE_AFTER_MS;
      return isOverdue ? undefined : followedSinceMs;
    },
    async [Symbol.asyncDispose]() {
      stopping.abort();
      deferred[Symbol.dispose]();
      endingEvacuations[Symbol.dispose]();
      doubted[Symbol.dispose]();
      await task;
    },
  };
}
