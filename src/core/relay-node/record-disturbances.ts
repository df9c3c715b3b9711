import type { Clock } from '../clock';
import type { Logger } from '../events';
import { createAssertionRecord } from '../failed-assertions';
import type { AssertionFailure } from '../failed-assertions';
import { createStallRecord } from '../intake';
import type { StallRecord } from '../intake';
import type { LoopActivity } from '../loop-activity';
import { processorTimeMs } from '../metrics';
import type { Metrics } from '../metrics';

/** Options of {@link recordDisturbances}. */
export interface DisturbanceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'gauge'>;
  readonly activity: Pick<LoopActivity, 'takeLongest'>;
  readonly onFailedAssertion?: (listener: (failure: AssertionFailure) => void) => void;
}

/** Logs and counts stalls of the event loop, whose record it returns, and failed assertions. */
export function recordDisturbances(options: DisturbanceOptions): StallRecord {
  const { clock, logger, metrics, activity } = options;
  const stalls = createStallRecord({ logger, clock, activity, processorTimeMs });
  metrics.gauge(
    'coltsfootworks_loop_stalls_total',
    'How often the event loop stood still',
    stalls.count,
  );
  metrics.gauge(
    'coltsfootworks_loop_longest_stall_ms',
    'Longest time for which the event loop stood still',
    stalls.longestMs,
  );
  const assertions = createAssertionRecord({ clock, logger });
  options.onFailedAssertion?.(assertions.record);
  metrics.gauge(
    'coltsfootworks_failed_assertions_total',
    'Assertions of libraries that failed',
    assertions.count,
  );
  return stalls;
}
