import { createKeyedTimers } from '../clock';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { RouteTableStore } from '../host-routes';
import type { ServerRegistry } from '../server-registry';
import { STATE_SYNC_EVENTS } from './events';
import { createServerQuarantine } from './server-quarantine';
import type {
  PublishedChange,
  PublishedItem,
  PublishedState,
  RoutesItem,
  ServerItem,
  UnreadableItem,
} from './types';

/** Options of the published items in force. */
export interface ItemsInForceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  /** Called after another version of the routes has come into force. */
  readonly onRoutesChanged?: () => void;
}

/** The published items in force here: routes, servers and evacuations. */
export interface ItemsInForce extends Disposable {
  /** Returns the items, for another instance that cannot reach the source. */
  items(): readonly PublishedItem[];
  /** Applies a change that was written in `era`. */
  applyChange(change: PublishedChange, era: number): void;
  /** Applies the items of a complete state; `isSourceRestored` if the source has been restored since the last one. */
  applyState(state: PublishedState, isSourceRestored: boolean): void;
  /** Removes the servers that a complete state of the source does not list. */
  removeMissing(state: PublishedState): void;
  /** Applies routes of another instance that were written in the era of those in force. */
  applyPeerRoutes(item: RoutesItem): void;
  /** Records that the source answers again after an outage. */
  recordRegained(): void;
  /** Records that the source was restored from an older backup. */
  recordRestored(): void;
}

/** Delay of removals after a source outage, ms: running servers announce themselves again within about two seconds. */
const REMOVAL_GRACE_MS = 2_500;

/** Creates an empty set of published items, which takes effect in the given routes and servers. */
export function createItemsInForce(options: ItemsInForceOptions): ItemsInForce {
  const { clock, logger, routes, servers } = options;
  const routesItems = new Map<number, PublishedItem>();
  const announcements = new Map<string, ServerItem>();
  let sourceRegainedAtMs = -Infinity;
  /** Monotonic time of the first answer of the source after it was restored from an older backup, ms. */
  let sourceRestoredAtMs = -Infinity;
  /** Era in which the routes in force were written. */
  let routesEra = 0;
  /** Timers of removals that wait for the server to announce itself again, by server id. */
  const pendingRemovals = createKeyedTimers(clock);
  /** Timers of evacuations that end unless they are published again, by failure domain. */
  const pendingEvacuationEnds = createKeyedTimers(clock);

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

  const applyState = (state: PublishedState, isSourceRestored: boolean): void => {
    const { era } = state.position;
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
    items: () => [
      ...routesItems.values(),
      ...currentAnnouncements().map(withCurrentColdTime),
      ...quarantine.items(),
      ...servers.evacuatedDomains().map((failureDomain) => ({
        kind: 'evacuation' as const,
        failureDomain,
      })),
    ],
    applyChange,
    applyState,
    removeMissing,
    applyPeerRoutes: (item) => putRoutes(item, routesEra),
    recordRegained() {
      sourceRegainedAtMs = clock.monotonicMs();
    },
    recordRestored() {
      sourceRegainedAtMs = clock.monotonicMs();
      sourceRestoredAtMs = sourceRegainedAtMs;
    },
    [Symbol.dispose]() {
      pendingRemovals[Symbol.dispose]();
      pendingEvacuationEnds[Symbol.dispose]();
      quarantine[Symbol.dispose]();
    },
  };
}
