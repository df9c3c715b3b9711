import type { Clock } from '../clock';
import type { Logger } from '../events';
import { FAILED_ASSERTION_EVENTS } from './events';

/** A failed assertion. */
export interface AssertionFailure {
  readonly message: string;
  /** Place of the assertion in the program, as in stack traces: function, file, line and column. */
  readonly place: string;
}

/** Record of assertions that failed in this process. */
export interface AssertionRecord {
  record(failure: AssertionFailure): void;
  count(): number;
}

/** Options of `createAssertionRecord`. */
export interface AssertionRecordOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  readonly logger: Logger;
}

/** Minimum time between two log lines on one place, ms. Whoever causes the failures decides how many there are. */
const LOG_INTERVAL_MS = 10_000;

/** Creates an empty record. It holds one entry a place, so it is bounded by the size of the program. */
export function createAssertionRecord({ clock, logger }: AssertionRecordOptions): AssertionRecord {
  let count = 0;
  const places = new Map<string, { unlogged: number; nextLogAtMs: number }>();
  return {
    record({ message, place }) {
      count += 1;
      const nowMs = clock.monotonicMs();
      const known = places.get(place) ?? { unlogged: 0, nextLogAtMs: -Infinity };
      places.set(place, known);
      known.unlogged += 1;
      if (nowMs < known.nextLogAtMs) return;
      logger.event(FAILED_ASSERTION_EVENTS.failed, { message, place, times: known.unlogged });
      known.unlogged = 0;
      known.nextLogAtMs = nowMs + LOG_INTERVAL_MS;
    },
    count: () => count,
  };
}
