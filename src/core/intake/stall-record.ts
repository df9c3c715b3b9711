import type { Logger } from '../events';
import { INTAKE_EVENTS } from './events';

/** Times at which the event loop stood still. */
export interface StallRecord {
  /** Records how late a tick of the loop is, ms. */
  recordLag(lagMs: number): void;
  count(): number;
  /** Longest time for which the loop stood still, ms. */
  longestMs(): number;
}

/** Options of `createStallRecord`. */
export interface StallRecordOptions {
  readonly logger: Logger;
}

/** Lag above which the loop counts as having stood still, ms. Callers notice it, and usual turns are far shorter. */
const MIN_STALL_MS = 250;

/**
 * Creates a record without stalls.
 *
 * The lag at the time of an export shows a stall only by chance, and not one that is over. A stall is logged at its end,
 * so that there are at most four lines a second.
 */
export function createStallRecord({ logger }: StallRecordOptions): StallRecord {
  let count = 0;
  let longestMs = 0;
  return {
    recordLag(lagMs) {
      if (lagMs < MIN_STALL_MS) return;
      count += 1;
      longestMs = Math.max(longestMs, lagMs);
      logger.event(INTAKE_EVENTS.stalled, { stalledMs: Math.round(lagMs) });
    },
    count: () => count,
    longestMs: () => longestMs,
  };
}
