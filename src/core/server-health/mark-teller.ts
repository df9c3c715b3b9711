import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { GossipBoard } from '../gossip';
import { mayTellDown } from './choose-usable';
import { SERVER_HEALTH_EVENTS } from './events';
import { MARK_RENEWAL_MS, markKey, toStatement } from './marks';
import type { ServerBook } from './server-book';
import type { CheckedServer, ServerObservation, ServerStanding } from './types';

/** Tells the other instances of the region what this one vouches for. */
export interface MarkTeller {
  /** Tells the standing of a server where that is news, or due to be said again. */
  tell(server: CheckedServer): void;
  /** Notes the result of a check; true when the server has just gone down by it, and proof is wanted. */
  noteCheck(server: CheckedServer, observation: ServerObservation): boolean;
}

/** What telling needs. */
export interface MarkTellerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly gossip: GossipBoard;
  readonly region: string;
  readonly book: ServerBook;
  /** How many servers this instance checks. */
  readonly checkedCount: () => number;
}

/** Time without any good check after which an instance says in its log that it doubts itself. */
const DOUBT_AFTER_MS = 2_000;

interface ToldMark {
  readonly kind: ServerStanding['kind'];
  readonly atMs: number;
}

/** A teller that has told nothing yet. */
export function createMarkTeller(options: MarkTellerOptions): MarkTeller {
  const { clock, logger, gossip, region, book, checkedCount } = options;
  const told = new Map<string, ToldMark>();
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
    tell({ serverId, address }) {
      const nowMs = clock.monotonicMs();
      const { standing, incarnation } = book.ownStanding(serverId, nowMs);
      const previous = told.get(serverId);
      const isNews = (previous?.kind ?? 'usable') !== standing.kind;
      const isRenewal =
        standing.kind !== 'usable' && nowMs - (previous?.atMs ?? 0) >= MARK_RENEWAL_MS;
      if (!isNews && !isRenewal) return;
      if (standing.kind === 'down' && !isProven(serverId)) return;
      told.set(serverId, { kind: standing.kind, atMs: nowMs });
      const mark = { kind: standing.kind, incarnation };
      gossip.put(toStatement(markKey(serverId, address), mark, region, clock.unixMs()));
    },
    noteCheck({ serverId }, observation) {
      const nowMs = clock.monotonicMs();
      if (observation.kind !== 'failed') {
        lastGoodCheckAtMs = nowMs;
        doubting = false;
      }
      const { standing } = book.ownStanding(serverId, nowMs);
      const isDown = standing.kind !== 'usable' && standing.cause === 'checks';
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
