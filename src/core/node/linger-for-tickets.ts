import { sleepUntil } from '../clock';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import { TICKET_EVENTS } from '../tickets';
import type { Tickets } from '../tickets';

/** What lingering needs. */
export interface LingerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tickets: Tickets;
  /** Longest stay once nothing runs any more, ms. */
  readonly lingerMs: number;
}

/** Time between two looks at what still runs. */
const LOOK_INTERVAL_MS = 50;

/**
 * Stays until every run under a ticket has ended, and a little longer while tickets may still be presented.
 *
 * Only this process can say what became of its tickets. If it went as soon as its own connections were closed,
 * a caller whose answer was lost would ask another instance and be told "unknown" for an order that ran well.
 */
export async function lingerForTickets(options: LingerOptions): Promise<void> {
  const { clock, logger, tickets, lingerMs } = options;
  while (tickets.counts().running > 0) {
    await sleepUntil(clock, clock.monotonicMs() + LOOK_INTERVAL_MS);
  }
  const untilMs = Math.min(tickets.lastExpiryAtMs(), clock.monotonicMs() + lingerMs);
  if (untilMs <= clock.monotonicMs()) return;
  logger.event(TICKET_EVENTS.lingering, { records: tickets.counts().records });
  await sleepUntil(clock, untilMs);
  while (tickets.counts().running > 0) {
    await sleepUntil(clock, clock.monotonicMs() + LOOK_INTERVAL_MS);
  }
}
