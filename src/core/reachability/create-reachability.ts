import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ServerRegistry } from '../server-registry';
import { REACHABILITY_EVENTS } from './events';
import { createLinkRecord } from './link-record';

/** Which backend servers of its region this instance reaches. */
export interface Reachability {
  recordReached(incarnationId: string): void;
  recordFailed(incarnationId: string): void;
  isUnreachable(incarnationId: string): boolean;
  unreachableCount(): number;
  /** Whether the links to all servers of the region are cut. */
  isCut(): boolean;
  /** Updates the state of the links. Must be called regularly. */
  runDue(): void;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of {@link createReachability}. */
export interface ReachabilityOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
  readonly region: string;
  readonly servers: Pick<ServerRegistry, 'all'>;
}

/** Creates a record without servers. */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { clock, logger, region, servers } = options;
  const record = createLinkRecord(clock.monotonicMs());
  let cutSinceMs: number | undefined;

  const isCutNow = (nowMs: number): boolean => {
    const known = servers.all().filter((server) => server.region === region);
    return record.isCut(known.length, nowMs);
  };

  const update = (): void => {
    const nowMs = clock.monotonicMs();
    const isCut = isCutNow(nowMs);
    if (isCut === (cutSinceMs !== undefined)) return;
    if (isCut) {
      logger.event(REACHABILITY_EVENTS.cut, { unreachable: record.unreachableCount() });
      cutSinceMs = nowMs;
      return;
    }
    logger.event(REACHABILITY_EVENTS.restored, { afterMs: nowMs - (cutSinceMs ?? nowMs) });
    cutSinceMs = undefined;
  };

  return {
    recordReached(incarnationId) {
      record.recordReached(incarnationId, clock.monotonicMs());
      if (cutSinceMs !== undefined) update();
    },
    recordFailed(incarnationId) {
      record.recordFailed(incarnationId, clock.monotonicMs());
      if (cutSinceMs === undefined) update();
    },
    isUnreachable: record.isUnreachable,
    unreachableCount: record.unreachableCount,
    isCut: () => cutSinceMs !== undefined,
    runDue: update,
    keepOnly: record.keepOnly,
  };
}
