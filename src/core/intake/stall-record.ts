import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { LoopActivity } from '../loop-activity';
import { INTAKE_EVENTS } from './events';

/** Times at which the event loop stood still. */
export interface StallRecord {
  /** Records how late a tick of the loop is, ms. Must be called at each tick. */
  recordLag(lagMs: number): void;
  count(): number;
  /** Longest time for which the loop stood still, ms. */
  longestMs(): number;
}

/** Options of `createStallRecord`. */
export interface StallRecordOptions {
  readonly logger: Logger;
  readonly clock: Pick<Clock, 'unixMs'>;
  readonly activity: Pick<LoopActivity, 'takeLongest'>;
  /** Returns the processor time that this process has used, ms. */
  readonly processorTimeMs: () => number;
}

/** Lag above which the loop counts as having stood still, ms. Callers notice it, and usual turns are far shorter. */
const MIN_STALL_MS = 250;
/** Share of a stall in which the process used its processor, from which it stood still because of its own work. */
const MIN_BUSY_SHARE = 0.5;

/**
 * Creates a record without stalls.
 *
 * The lag at the time of an export shows a stall only by chance, and not one that is over. A stall is logged at its end,
 * so that there are at most four lines a second. The processor time tells work of this process from a pause of its machine.
 */
export function createStallRecord(options: StallRecordOptions): StallRecord {
  const { logger, clock, activity, processorTimeMs } = options;
  let count = 0;
  let longestMs = 0;
  let usedMs = processorTimeMs();

  const describe = (lagMs: number, busyMs: number) => {
    const longest = activity.takeLongest();
    if (longest === undefined || busyMs < MIN_BUSY_SHARE * lagMs) return {};
    const { work, subject, tookMs } = longest;
    return { work, subject, workMs: Math.round(tookMs) };
  };

  return {
    recordLag(lagMs) {
      const nowUsedMs = processorTimeMs();
      const busyMs = nowUsedMs - usedMs;
      usedMs = nowUsedMs;
      const occupied = describe(lagMs, busyMs);
      if (lagMs < MIN_STALL_MS) return;
      count += 1;
      longestMs = Math.max(longestMs, lagMs);
      logger.event(INTAKE_EVENTS.stalled, {
        stalledMs: Math.round(lagMs),
        sinceUnixMs: Math.round(clock.unixMs() - lagMs),
        busyMs: Math.round(busyMs),
        ...occupied,
      });
    },
    count: () => count,
    longestMs: () => longestMs,
  };
}
