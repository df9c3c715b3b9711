/** A software version that servers of a service have announced. */
export interface AnnouncedVersion {
  readonly service: string;
  readonly softwareVersion: string;
  /** When it was last announced, monotonic ms. */
  readonly announcedAtMs: number;
}

/** The versions that servers have announced, also those whose servers are gone. */
export interface AnnouncedVersions {
  record(service: string, softwareVersion: string, nowMs: number): void;
  all(): readonly AnnouncedVersion[];
}

/** Maximum versions of all services together; the one that was announced longest ago is dropped first. */
const MAX_VERSIONS = 256;

/**
 * Creates an empty record. A version that comes and goes between two looks at the list of servers would be missed
 * without it.
 */
export function createAnnouncedVersions(maxVersions = MAX_VERSIONS): AnnouncedVersions {
  const versions = new Map<string, AnnouncedVersion>();
  return {
    record(service, softwareVersion, nowMs) {
      const key = JSON.stringify([service, softwareVersion]);
      versions.delete(key);
      versions.set(key, { service, softwareVersion, announcedAtMs: nowMs });
      if (versions.size <= maxVersions) return;
      const [oldest] = versions.keys();
      if (oldest !== undefined) versions.delete(oldest);
    },
    all: () => [...versions.values()],
  };
}
