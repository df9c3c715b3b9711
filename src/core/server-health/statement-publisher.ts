import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { GossipBoard } from '../gossip';
import { mayTellDown } from './choose-usable';
import { SERVER_HEALTH_EVENTS } from './events';
import { MARK_RENEWAL_MS, markKey, toStatement } from './marks';
import type { HealthTable } from './health-table';
import type { CheckedServer, ServerObservation, HealthState } from './types';

/** Tells the other instances of the region what this one vouches for. */
export interface StatementPublisher {
  /** Tells the health state of a server where that is news, or due to be said again. */
  publish(server: CheckedServer): void;
  /** Notes the result of a check; true when the server has just gone down by it, and proof is wanted. */
  noteCheck(server: CheckedServer, observation: ServerObservation): boolean;
}

/** What telling needs. */
export interface StatementPublisherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: GossipBoard;
  readonly region: string;
  readonly table: HealthTable;
  /** How many servers this instance checks. */
  readonly checkedCount: () => number;
}

/** Time without any good check after which an instance says in its log that it doubts itself. */
const DOUBT_AFTER_MS = 2_000;

interface PublishedMark {
  readonly kind: HealthState['kind'];
  readonly atMs: number;
}

/** A publisher that has published nothing yet. */
export function createStatementPublisher(options: StatementPublisherOptions): StatementPublisher {
  const { clock, logger, gossip, region, table, checkedCount } = options;
  const told = new Map<string, PublishedMark>();
  const downSinceMs = new Map<string, number>();
  let lastGoodCheckAtMs: number | undefined;
  let doubting = false;

  /** Whether the failure of a server is proven to be the server's; says so in the log when it long is not. */
  const isProven = (serverId: string): boolean => {
    const nowMs = clock.monotonicMs();
    const failedAtMs = downSinceMs.get(serverId) ?? nowMs;
    if (mayTellDown(failedAtMs, lastGoodCheckAtMs, checkedCount())) return true;
    if (!doubting && nowMs - failedAtMs >= DOUBT_AFTER_MS) {
      doubting = true;
      logger.event(SERVER_HEALTH_EVENTS.checksDoubted, { down: downSinceMs.size });
    }
    return false;
  };

  return {
    publish({ serverId, address }) {
      const nowMs = clock.monotonicMs();
      const { healthState, incarnation } = table.ownHealth(serverId, nowMs);
      const previous = told.get(serverId);
      const isNews = (previous?.kind ?? 'usable') !== healthState.kind;
      const isRenewal =
        healthState.kind !== 'usable' && nowMs - (previous?.atMs ?? 0) >= MARK_RENEWAL_MS;
      if (!isNews && !isRenewal) return;
      if (healthState.kind === 'down' && !isProven(serverId)) return;
      told.set(serverId, { kind: healthState.kind, atMs: nowMs });
      const mark = { kind: healthState.kind, incarnation };
      gossip.put(toStatement(markKey(serverId, address), mark, region, clock.unixMs()));
    },
    noteCheck({ serverId }, observation) {
      const nowMs = clock.monotonicMs();
      if (observation.kind !== 'failed') {
        lastGoodCheckAtMs = nowMs;
        doubting = false;
      }
      const { healthState } = table.ownHealth(serverId, nowMs);
      const isDown = healthState.kind !== 'usable' && healthState.cause === 'checks';
      if (!isDown) {
        downSinceMs.delete(serverId);
        return false;
      }
      if (downSinceMs.has(serverId)) return false;
      downSinceMs.set(serverId, nowMs);
      return true;
    },
  };
}
