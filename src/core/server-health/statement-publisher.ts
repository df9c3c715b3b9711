import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { Gossip } from '../gossip';
import { mayReportDown } from './choose-usable';
import { SERVER_HEALTH_EVENTS } from './events';
import {
  STATEMENT_RENEWAL_INTERVAL_MS,
  statementKey,
  toGossipStatement,
} from './server-statements';
import type { HealthTable } from './health-table';
import type { CheckedServer, ServerObservation, HealthState } from './types';

/** Reports to the other instances of the region the health of the servers that this instance has observed itself. */
export interface StatementPublisher {
  /** Publishes the health state of a server when it has changed or its statement is due for renewal. */
  publish(server: CheckedServer): void;
  /**
   * Records the result of a check. Returns true when the result has just taken the server down, so that a good check
   * of another server is needed to prove that the network of this instance works.
   */
  recordCheck(server: CheckedServer, observation: ServerObservation): boolean;
}

/** Options of `createStatementPublisher`. */
export interface StatementPublisherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: Gossip;
  readonly region: string;
  readonly table: HealthTable;
  /** Returns the number of servers that this instance checks. */
  readonly checkedCount: () => number;
}

/** Time since a failure without a good check, ms, after which an instance logs that its own network may have failed. */
const DOUBT_LOG_DELAY_MS = 2_000;

interface PublishedStatement {
  readonly kind: HealthState['kind'];
  readonly atMs: number;
}

/** Creates the publisher of the statements of this instance. */
export function createStatementPublisher(options: StatementPublisherOptions): StatementPublisher {
  const { clock, logger, gossip, region, table, checkedCount } = options;
  const published = new Map<string, PublishedStatement>();
  const downSinceMs = new Map<string, number>();
  let lastGoodCheckAtMs: number | undefined;
  let hasLoggedDoubt = false;

  /**
   * Whether a failure is proven to be the server's and not this instance's. Logs once when the proof has been missing
   * for `DOUBT_LOG_DELAY_MS`.
   */
  const isFailureProven = (serverId: string): boolean => {
    const nowMs = clock.monotonicMs();
    const failedAtMs = downSinceMs.get(serverId) ?? nowMs;
    if (mayReportDown(failedAtMs, lastGoodCheckAtMs, checkedCount())) return true;
    if (!hasLoggedDoubt && nowMs - failedAtMs >= DOUBT_LOG_DELAY_MS) {
      hasLoggedDoubt = true;
      logger.event(SERVER_HEALTH_EVENTS.checksDoubted, { down: downSinceMs.size });
    }
    return false;
  };

  return {
    publish({ serverId, address }) {
      const nowMs = clock.monotonicMs();
      const { healthState, incarnation } = table.ownHealth(serverId, nowMs);
      const previous = published.get(serverId);
      const isChange = (previous?.kind ?? 'usable') !== healthState.kind;
      const isRenewal =
        healthState.kind !== 'usable' &&
        nowMs - (previous?.atMs ?? 0) >= STATEMENT_RENEWAL_INTERVAL_MS;
      if (!isChange && !isRenewal) return;
      if (healthState.kind === 'down' && !isFailureProven(serverId)) return;
      published.set(serverId, { kind: healthState.kind, atMs: nowMs });
      const statement = { kind: healthState.kind, incarnation };
      gossip.put(
        toGossipStatement(statementKey(serverId, address), statement, region, clock.unixMs()),
      );
    },
    recordCheck({ serverId }, observation) {
      const nowMs = clock.monotonicMs();
      if (observation.kind !== 'failed') {
        lastGoodCheckAtMs = nowMs;
        hasLoggedDoubt = false;
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
