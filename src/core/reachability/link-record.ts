/**
 * Tells a fault of this instance's own links from faults of servers.
 *
 * If a server fails, others answer between its failures. If the links of this instance are cut, one server after the other
 * can't be reached, and nothing arrives from any of them. Without this, an instance that is cut off would take all servers
 * for failed ones, and its callers would be refused although other instances reach the servers.
 */
export interface LinkRecord {
  /** Records that any byte of a server arrived. */
  recordReached(incarnationId: string, nowMs: number): void;
  /** Records that a server could not be connected to, or did not answer a health check. */
  recordFailed(incarnationId: string): void;
  /** Whether no connection to the server has succeeded since the last one that failed. */
  isUnreachable(incarnationId: string): boolean;
  unreachableCount(): number;
  /** Time of the last byte of a server, monotonic ms; undefined if there was none. */
  serverReachedAtMs(incarnationId: string): number | undefined;
  /** Time of the last byte of any server, monotonic ms; the time of creation before the first. */
  lastReachedAtMs(): number;
  /** Whether the links to all servers seem cut, of `knownCount` servers that there are. */
  isCut(knownCount: number, nowMs: number): boolean;
  /** Drops the records of all servers but these. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Number of servers that have to fail without any other being reached; a single one may have failed itself. */
const MIN_FAILED_SERVERS = 2;
/** Time without a byte of any server before the links count as cut, ms: two servers may end at the same moment. */
const MIN_QUIET_MS = 200;

/** Creates a record without servers. */
export function createLinkRecord(createdAtMs: number): LinkRecord {
  const unreachableIds = new Set<string>();
  const reachedAtMs = new Map<string, number>();
  /** Servers that have failed since the last byte of any server. */
  const failedSinceReached = new Set<string>();
  let lastReachedAtMs = createdAtMs;

  return {
    recordReached(incarnationId, nowMs) {
      lastReachedAtMs = nowMs;
      reachedAtMs.set(incarnationId, nowMs);
      failedSinceReached.clear();
      unreachableIds.delete(incarnationId);
    },
    recordFailed(incarnationId) {
      unreachableIds.add(incarnationId);
      failedSinceReached.add(incarnationId);
    },
    isUnreachable: (incarnationId) => unreachableIds.has(incarnationId),
    unreachableCount: () => unreachableIds.size,
    serverReachedAtMs: (incarnationId) => reachedAtMs.get(incarnationId),
    lastReachedAtMs: () => lastReachedAtMs,
    isCut(knownCount, nowMs) {
      const neededCount = Math.max(1, Math.min(MIN_FAILED_SERVERS, knownCount));
      return failedSinceReached.size >= neededCount && nowMs - lastReachedAtMs >= MIN_QUIET_MS;
    },
    keepOnly(incarnationIds) {
      for (const id of reachedAtMs.keys()) if (!incarnationIds.has(id)) reachedAtMs.delete(id);
      for (const id of unreachableIds) if (!incarnationIds.has(id)) unreachableIds.delete(id);
      for (const id of failedSinceReached) {
        if (!incarnationIds.has(id)) failedSinceReached.delete(id);
      }
    },
  };
}
