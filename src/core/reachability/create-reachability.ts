import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ServerRegistry } from '../server-registry';
import { REACHABILITY_EVENTS } from './events';
import { createLinkChecks } from './link-checks';
import { createLinkRecord } from './link-record';

/** Which backend servers of its region this instance reaches. */
export interface Reachability {
  recordReached(incarnationId: string): void;
  recordFailed(incarnationId: string): void;
  isUnreachable(incarnationId: string): boolean;
  unreachableCount(): number;
  /** Whether the links to all servers of the region are cut. */
  isCut(): boolean;
  /** Whether the links to all servers were cut at some time since the given one, monotonic ms. */
  wasCutSince(atMs: number): boolean;
  /** Time of the last byte of a server, monotonic ms; undefined if there was none. */
  lastReachedAtMs(incarnationId: string): number | undefined;
  /** Updates the state of the links, and checks servers where that is due. Must be called regularly. */
  runDue(): void;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  readonly region: string;
  readonly servers: Pick<ServerRegistry, 'all'>;
  /** Returns the time since the last byte of a server for requests that wait for their first one, ms; 0 if none waits. */
  readonly silentMs: (incarnationId: string) => number;
  /** Sends a health check over a new connection; its result is recorded. */
  readonly check: (incarnationId: string) => void;
}

/** Creates a record without servers. */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { clock, logger, region, servers } = options;
  const record = createLinkRecord(clock.monotonicMs());
  const checks = createLinkChecks();
  let cutSinceMs: number | undefined;
  let restoredAtMs = -Infinity;

  const serversHere = () => servers.all().filter((server) => server.region === region);

  const update = (): void => {
    const nowMs = clock.monotonicMs();
    const isCut = record.isCut(serversHere().length, nowMs);
    if (isCut === (cutSinceMs !== undefined)) return;
    if (isCut) {
      logger.event(REACHABILITY_EVENTS.cut, { unreachable: record.unreachableCount() });
      cutSinceMs = nowMs;
      return;
    }
    logger.event(REACHABILITY_EVENTS.restored, { afterMs: nowMs - (cutSinceMs ?? nowMs) });
    cutSinceMs = undefined;
    restoredAtMs = nowMs;
  };

  const sendChecks = (): void => {
    const nowMs = clock.monotonicMs();
    const dueIds = checks.due({
      isCut: cutSinceMs !== undefined,
      nowMs,
      lastReachedAtMs: record.lastReachedAtMs(),
      servers: serversHere().map(({ incarnationId }) => ({
        incarnationId,
        silentMs: options.silentMs(incarnationId),
      })),
    });
    dueIds.forEach(options.check);
  };

  return {
    recordReached(incarnationId) {
      record.recordReached(incarnationId, clock.monotonicMs());
      if (cutSinceMs !== undefined) update();
    },
    recordFailed(incarnationId) {
      record.recordFailed(incarnationId);
      if (cutSinceMs === undefined) update();
    },
    isUnreachable: record.isUnreachable,
    unreachableCount: record.unreachableCount,
    isCut: () => cutSinceMs !== undefined,
    wasCutSince: (atMs) => cutSinceMs !== undefined || restoredAtMs >= atMs,
    lastReachedAtMs: record.serverReachedAtMs,
    runDue() {
      update();
      sendChecks();
    },
    keepOnly: record.keepOnly,
  };
}
