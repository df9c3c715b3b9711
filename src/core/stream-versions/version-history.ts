import type { AnnouncedVersion, KnownServer } from '../server-registry';

/** The registry as far as the versions of its servers are concerned. */
export interface VersionedServers {
  all(): readonly Pick<KnownServer, 'service' | 'softwareVersion'>[];
  /** Returns the versions that servers have announced, also those that are gone. */
  announcedVersions(): readonly AnnouncedVersion[];
  /** Number of changes so far. */
  changes(): number;
}

/** A version that has served lately. */
export interface SeenVersion {
  readonly service: string;
  readonly softwareVersion: string;
  /** When it was last seen, monotonic ms; Infinity while it serves. */
  readonly seenAtMs: number;
}

/** Software versions of the servers of each service, now and lately. */
export interface VersionHistory {
  /** Returns the versions whose servers serve now or have served within the retention. */
  recent(service: string, nowMs: number): ReadonlySet<string>;
  /** Returns the services that have several recent versions. */
  servicesWithSeveral(nowMs: number): ReadonlySet<string>;
  /** Returns the recent versions of all services. */
  all(nowMs: number): readonly SeenVersion[];
  /** Records a version that another instance saw serve at a time; its servers may not be known here yet. */
  recordSeen(service: string, softwareVersion: string, seenAtMs: number): void;
}

/** Time for which a version counts after its last server has gone, ms: streams that are older are not taken up. */
export const VERSION_RETENTION_MS = 600_000;

/** Creates a history that begins now. */
export function createVersionHistory(servers: VersionedServers): VersionHistory {
  /** Time at which each version of a service was last seen, monotonic ms; Infinity while it serves. */
  const lastSeenMs = new Map<string, Map<string, number>>();
  let seenChanges = -1;

  const versionsOf = (service: string): Map<string, number> => {
    const versions = lastSeenMs.get(service) ?? new Map<string, number>();
    lastSeenMs.set(service, versions);
    return versions;
  };

  const recordAt = (service: string, softwareVersion: string, seenAtMs: number): void => {
    const versions = versionsOf(service);
    versions.set(softwareVersion, Math.max(versions.get(softwareVersion) ?? seenAtMs, seenAtMs));
  };

  const removeExpired = (nowMs: number): void => {
    for (const [service, versions] of lastSeenMs) {
      for (const [version, seenMs] of versions) {
        if (nowMs - seenMs > VERSION_RETENTION_MS) versions.delete(version);
      }
      if (versions.size === 0) lastSeenMs.delete(service);
    }
  };

  const refresh = (nowMs: number): void => {
    const changes = servers.changes();
    if (changes === seenChanges) return;
    seenChanges = changes;
    removeExpired(nowMs);
    for (const versions of lastSeenMs.values()) {
      for (const [version, seenMs] of versions) {
        versions.set(version, Math.min(seenMs, nowMs));
      }
    }
    for (const { service, softwareVersion, announcedAtMs } of servers.announcedVersions()) {
      recordAt(service, softwareVersion, announcedAtMs);
    }
    for (const { service, softwareVersion } of servers.all()) {
      versionsOf(service).set(softwareVersion, Infinity);
    }
  };

  const recent = (service: string, nowMs: number): ReadonlySet<string> => {
    refresh(nowMs);
    const versions = lastSeenMs.get(service) ?? new Map<string, number>();
    const isRecent = ([, seenMs]: [string, number]) => nowMs - seenMs <= VERSION_RETENTION_MS;
    return new Set([...versions].filter(isRecent).map(([version]) => version));
  };

  return {
    recent,
    servicesWithSeveral(nowMs) {
      refresh(nowMs);
      return new Set([...lastSeenMs.keys()].filter((service) => recent(service, nowMs).size > 1));
    },
    all(nowMs) {
      refresh(nowMs);
      return [...lastSeenMs].flatMap(([service, versions]) =>
        [...versions].flatMap(([softwareVersion, seenAtMs]) =>
          nowMs - seenAtMs <= VERSION_RETENTION_MS ? [{ service, softwareVersion, seenAtMs }] : [],
        ),
      );
    },
    recordSeen: recordAt,
  };
}
