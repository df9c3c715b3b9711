import { createAnnouncedVersions } from './announced-versions';
import type { AnnouncedVersion } from './announced-versions';
import type { KnownServer, ServerAnnouncement } from './types';
import { versionName } from './version-name';

/** Registry of announced backend servers and evacuated failure domains. */
export interface ServerRegistry {
  /** Adds or updates a server from its announcement. */
  put(announcement: ServerAnnouncement, nowMs: number): void;
  /** Removes a server that has left. */
  remove(serverId: string): void;
  /** Removes all servers that are not in the given set, since a server missing in a complete list has left. */
  keepOnly(serverIds: ReadonlySet<string>): void;
  /** Begins or ends the evacuation of a failure domain. */
  setEvacuated(failureDomain: string, isEvacuated: boolean, nowMs: number): void;
  evacuatedDomains(): readonly string[];
  get(serverId: string): KnownServer | undefined;
  /** Number of changes of servers and of announced versions so far. */
  changes(): number;
  /** Returns the software versions that servers have announced, also those that are gone or have changed since. */
  announcedVersions(): readonly AnnouncedVersion[];
  /** Records that a server of a service announced a version, although its entry never came into force here. */
  recordVersion(service: string, softwareVersion: string, nowMs: number): void;
  all(): readonly KnownServer[];
  /**
   * Returns the servers of a service in a region that may be given new work; only those of one software version if that
   * is given.
   */
  usable(service: string, region: string, softwareVersion?: string): readonly KnownServer[];
  /** Marks a server as cold until the given monotonic time, as the server itself reported. */
  markCold(serverId: string, coldUntilMs: number): void;
  /** Marks one start of a server as leaving, as it stated in an answer; its entry may not be known yet, or no more. */
  markLeaving(incarnationId: string, nowMs: number): void;
  /** Whether a server that was chosen a moment ago may still be given new work. */
  isUsable(server: KnownServer): boolean;
  /** Marks a server as replaced: another one answered at its address, so it is gone for good. */
  markReplaced(serverId: string): void;
}

/** Options of a server registry. */
export interface ServerRegistryOptions {
  /** Returns the region of a failure domain; undefined for one that the settings do not name. */
  readonly regionOf: (failureDomain: string) => string | undefined;
  /** Returns how long servers of a service count as cold after an evacuation of their domain, ms. */
  readonly coldStartMs: (service: string) => number;
  /** Called when a server has restarted under the same id; everything known about the previous start is invalid. */
  readonly onRestarted?: (before: KnownServer) => void;
}

/**
 * Time for which a stated departure is remembered although the entry of the server has gone, ms. Entries that expired
 * while their source was away return for a while, and may show a state from before the departure.
 */
const DEPARTURE_RETENTION_MS = 600_000;

function incarnationIdOf({ serverId, startedAtUnixMs }: ServerAnnouncement): string {
  return startedAtUnixMs === undefined ? serverId : `${serverId}@${startedAtUnixMs}`;
}

/** Returns whether an announcement is of an earlier start than the known one; that start no longer runs. */
function isOfEarlierStart(announcement: ServerAnnouncement, known: KnownServer): boolean {
  const { startedAtUnixMs } = announcement;
  if (startedAtUnixMs === undefined || known.startedAtUnixMs === undefined) return false;
  return startedAtUnixMs < known.startedAtUnixMs;
}

/** Creates an empty registry. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const servers = new Map<string, KnownServer>();
  const evacuatedDomains = new Set<string>();
  /** Time at which each start of a server was marked as leaving, monotonic ms. */
  const leavingSinceMs = new Map<string, number>();
  /** Usable servers by service and region, rebuilt after a change; read on every request. */
  let usableIndex: Map<string, KnownServer[]> | undefined;
  let changes = 0;
  const announced = createAnnouncedVersions();

  const recordChange = (): void => {
    usableIndex = undefined;
    changes += 1;
  };

  const indexKey = (service: string, region: string) => `${region}/${service}`;

  const isAvailable = ({ isDraining, failureDomain }: KnownServer): boolean =>
    !isDraining && !evacuatedDomains.has(failureDomain);

  const hasStatedDeparture = (incarnationId: string, nowMs: number): boolean =>
    nowMs - (leavingSinceMs.get(incarnationId) ?? -Infinity) <= DEPARTURE_RETENTION_MS;

  const buildUsableIndex = (): Map<string, KnownServer[]> => {
    const index = new Map<string, KnownServer[]>();
    for (const server of servers.values()) {
      if (!isAvailable(server)) continue;
      const key = indexKey(server.service, server.region);
      const list = index.get(key) ?? [];
      list.push(server);
      index.set(key, list);
    }
    return index;
  };

  const set = (server: KnownServer): void => {
    servers.set(server.serverId, server);
    recordChange();
  };

  return {
    put(announcement, nowMs) {
      const { coldForMs, goneInMs, ...stated } = announcement;
      const before = servers.get(announcement.serverId);
      if (before !== undefined && isOfEarlierStart(announcement, before)) return;
      const incarnationId = incarnationIdOf(announcement);
      const isRestarted = before !== undefined && before.incarnationId !== incarnationId;
      // Draining and cold states belong to one start; carried over to the next, they would keep a healthy server
      // unused.
      const sameIncarnation = isRestarted ? undefined : before;
      if (isRestarted) options.onRestarted?.(before);
      const region = options.regionOf(announcement.failureDomain) ?? '';
      const coldUntilMs = coldForMs > 0 ? nowMs + coldForMs : 0;
      const softwareVersion = versionName(stated.softwareVersion);
      announced.record(stated.service, softwareVersion, nowMs);
      set({
        ...stated,
        softwareVersion,
        incarnationId,
        region,
        // A server that is about to be stopped, or that has stated its departure, gets no new work, whatever it announces.
        isDraining:
          stated.isDraining ||
          goneInMs !== undefined ||
          sameIncarnation?.isDraining === true ||
          hasStatedDeparture(incarnationId, nowMs),
        coldUntilMs: Math.max(coldUntilMs, sameIncarnation?.coldUntilMs ?? 0),
      });
    },
    remove(serverId) {
      if (servers.delete(serverId)) recordChange();
    },
    keepOnly(serverIds) {
      for (const serverId of servers.keys()) if (!serverIds.has(serverId)) servers.delete(serverId);
      recordChange();
    },
    setEvacuated(failureDomain, isEvacuated, nowMs) {
      if (evacuatedDomains.has(failureDomain) === isEvacuated) return;
      usableIndex = undefined;
      if (isEvacuated) {
        evacuatedDomains.add(failureDomain);
        return;
      }
      evacuatedDomains.delete(failureDomain);
      // Servers without work lose their in-memory state. Nothing announces that, and the full load, returning at once,
      // would crash them; so they count as cold for as long as after a start.
      for (const server of servers.values()) {
        if (server.failureDomain !== failureDomain) continue;
        const coldMs = options.coldStartMs(server.service);
        if (coldMs > 0) set({ ...server, coldUntilMs: nowMs + coldMs });
      }
    },
    evacuatedDomains: () => [...evacuatedDomains],
    get: (serverId) => servers.get(serverId),
    changes: () => changes,
    announcedVersions: announced.all,
    recordVersion(service, softwareVersion, nowMs) {
      announced.record(service, versionName(softwareVersion), nowMs);
      changes += 1;
    },
    all: () => [...servers.values()],
    usable(service, region, softwareVersion) {
      usableIndex ??= buildUsableIndex();
      const all = usableIndex.get(indexKey(service, region)) ?? [];
      if (softwareVersion === undefined) return all;
      return all.filter((server) => server.softwareVersion === softwareVersion);
    },
    markCold(serverId, coldUntilMs) {
      const server = servers.get(serverId);
      if (server !== undefined) set({ ...server, coldUntilMs });
    },
    markLeaving(incarnationId, nowMs) {
      for (const id of leavingSinceMs.keys()) {
        if (!hasStatedDeparture(id, nowMs)) leavingSinceMs.delete(id);
      }
      leavingSinceMs.set(incarnationId, nowMs);
      const server = [...servers.values()].find((known) => known.incarnationId === incarnationId);
      if (server !== undefined) set({ ...server, isDraining: true });
    },
    isUsable({ serverId, incarnationId }) {
      const server = servers.get(serverId);
      return server !== undefined && server.incarnationId === incarnationId && isAvailable(server);
    },
    markReplaced(serverId) {
      const server = servers.get(serverId);
      if (server !== undefined) set({ ...server, isDraining: true });
    },
  };
}
