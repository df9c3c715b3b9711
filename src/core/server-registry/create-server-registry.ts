import type { KnownServer, ServerAnnouncement } from './types';

/** The backend servers that are announced, and the failure domains that are evacuated. */
export interface ServerRegistry {
  /** Takes an announcement in. */
  put(announcement: ServerAnnouncement, nowMs: number): void;
  /** Forgets a server that has left. */
  remove(serverId: string): void;
  /** Forgets all servers that are not among those given: what a complete list does not name has gone. */
  keepOnly(serverIds: ReadonlySet<string>): void;
  /** Begins or ends the evacuation of a failure domain. */
  setEvacuated(failureDomain: string, isEvacuated: boolean, nowMs: number): void;
  evacuated(): readonly string[];
  get(serverId: string): KnownServer | undefined;
  all(): readonly KnownServer[];
  /** Servers of a service in a region that may be given new work. */
  usable(service: string, region: string): readonly KnownServer[];
  /** Notes that a server has said of itself that it is cold. */
  noteCold(serverId: string, coldUntilMs: number): void;
  /** Notes that another server has answered at a server's address: the one that was there has gone for good. */
  noteReplaced(serverId: string): void;
}

/** What the registry is made from. */
export interface ServerRegistryOptions {
  /** Region of a failure domain; undefined for one that the settings do not name. */
  readonly regionOf: (failureDomain: string) => string | undefined;
  /** Time for which servers of a service count as cold after an evacuation of their domain, ms. */
  readonly coldStartMs: (service: string) => number;
  /** A server has started again under the id that it had; nothing of what was known of it holds any more. */
  readonly onRestarted?: (before: KnownServer) => void;
}

function incarnationName({ serverId, startedAtUnixMs }: ServerAnnouncement): string {
  return startedAtUnixMs === undefined ? serverId : `${serverId}@${startedAtUnixMs}`;
}

/** Whether an announcement is of a start before the one that is known; such a server runs no more. */
function isOfEarlierStart(announcement: ServerAnnouncement, known: KnownServer): boolean {
  const { startedAtUnixMs } = announcement;
  if (startedAtUnixMs === undefined || known.startedAtUnixMs === undefined) return false;
  return startedAtUnixMs < known.startedAtUnixMs;
}

/** A registry that knows nobody. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const servers = new Map<string, KnownServer>();
  const evacuatedDomains = new Set<string>();
  /** Servers by service and region, made anew after a change; asked for on every request. */
  let usableByPlace: Map<string, KnownServer[]> | undefined;

  const place = (service: string, region: string) => `${region}/${service}`;

  const index = (): Map<string, KnownServer[]> => {
    const byPlace = new Map<string, KnownServer[]>();
    for (const server of servers.values()) {
      if (server.isDraining || evacuatedDomains.has(server.failureDomain)) continue;
      const key = place(server.service, server.region);
      const list = byPlace.get(key) ?? [];
      list.push(server);
      byPlace.set(key, list);
    }
    return byPlace;
  };

  const set = (server: KnownServer): void => {
    servers.set(server.serverId, server);
    usableByPlace = undefined;
  };

  return {
    put(announcement, nowMs) {
      const { coldForMs, goneInMs, ...announced } = announcement;
      const before = servers.get(announcement.serverId);
      if (before !== undefined && isOfEarlierStart(announcement, before)) return;
      const incarnationId = incarnationName(announcement);
      const isRestarted = before !== undefined && before.incarnationId !== incarnationId;
      // Draining and cold belong to one start: carried over to the next, they would keep a sound server out of use.
      const known = isRestarted ? undefined : before;
      if (isRestarted) options.onRestarted?.(before);
      const region = options.regionOf(announcement.failureDomain) ?? '';
      const coldUntilMs = coldForMs > 0 ? nowMs + coldForMs : 0;
      set({
        ...announced,
        incarnationId,
        region,
        // A server that is about to be taken away gets no new work, whatever else it says.
        isDraining: announced.isDraining || goneInMs !== undefined || known?.isDraining === true,
        coldUntilMs: Math.max(coldUntilMs, known?.coldUntilMs ?? 0),
      });
    },
    remove(serverId) {
      if (servers.delete(serverId)) usableByPlace = undefined;
    },
    keepOnly(serverIds) {
      for (const serverId of servers.keys()) if (!serverIds.has(serverId)) servers.delete(serverId);
      usableByPlace = undefined;
    },
    setEvacuated(failureDomain, isEvacuated, nowMs) {
      if (evacuatedDomains.has(failureDomain) === isEvacuated) return;
      usableByPlace = undefined;
      if (isEvacuated) {
        evacuatedDomains.add(failureDomain);
        return;
      }
      evacuatedDomains.delete(failureDomain);
      // Servers without work lose what they had in memory. Nothing announces that, and the full load that
      // comes back at once would crash them; so they count as cold for as long as after a start.
      for (const server of servers.values()) {
        if (server.failureDomain !== failureDomain) continue;
        const coldMs = options.coldStartMs(server.service);
        if (coldMs > 0) set({ ...server, coldUntilMs: nowMs + coldMs });
      }
    },
    evacuated: () => [...evacuatedDomains],
    get: (serverId) => servers.get(serverId),
    all: () => [...servers.values()],
    usable(service, region) {
      usableByPlace ??= index();
      return usableByPlace.get(place(service, region)) ?? [];
    },
    noteCold(serverId, coldUntilMs) {
      const server = servers.get(serverId);
      if (server !== undefined) set({ ...server, coldUntilMs });
    },
    noteReplaced(serverId) {
      const server = servers.get(serverId);
      if (server !== undefined) set({ ...server, isDraining: true });
    },
  };
}
