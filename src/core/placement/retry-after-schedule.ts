/** Computes when refused callers should retry. */
export interface RetryAfterSchedule {
  /** Records that a request of this kind was admitted. */
  recordAdmitted(kind: string, nowMs: number): void;
  /** Returns the delay after which a refused request of this kind should be retried, ms. */
  nextRetryAfterMs(kind: string, minDelayMs: number, nowMs: number): number;
}

interface KindSchedule {
  /** Mean interval between two admitted requests, ms. */
  meanIntervalMs: number;
  lastAdmittedAtMs: number | undefined;
  /** Latest scheduled retry of a refused request, monotonic ms. */
  lastRetryAtMs: number;
}

/**
 * Weight of the newest interval in a moving average over about ten requests, which follows a burst within a second.
 */
const NEWEST_SAMPLE_WEIGHT = 0.1;
/** Interval assumed until two requests have been admitted, ms: 20 requests/s, the capacity of a few servers. */
const INITIAL_INTERVAL_MS = 50;
/** Upper bound of a measured interval, ms: a longer one means that no request arrived, not that none was admitted. */
const MAX_INTERVAL_MS = 500;

/**
 * Creates an empty schedule.
 *
 * If all callers of a refused burst got the same delay, they would retry together and be refused again. Refusals would
 * come in waves with idle servers between them, and most callers would give up although servers have capacity a moment
 * later. So each refusal is scheduled after the previous one: callers retry in the order of their refusals, no faster
 * than requests of their kind have recently been admitted.
 */
export function createRetryAfterSchedule(maxDelayMs: number): RetryAfterSchedule {
  const kinds = new Map<string, KindSchedule>();

  const scheduleOf = (kind: string): KindSchedule => {
    const existing = kinds.get(kind);
    if (existing !== undefined) return existing;
    const created = {
      meanIntervalMs: INITIAL_INTERVAL_MS,
      lastAdmittedAtMs: undefined,
      lastRetryAtMs: 0,
    };
    kinds.set(kind, created);
    return created;
  };

  return {
    recordAdmitted(kind, nowMs) {
      const schedule = scheduleOf(kind);
      if (schedule.lastAdmittedAtMs !== undefined) {
        const intervalMs = Math.min(MAX_INTERVAL_MS, nowMs - schedule.lastAdmittedAtMs);
        schedule.meanIntervalMs += (intervalMs - schedule.meanIntervalMs) * NEWEST_SAMPLE_WEIGHT;
      }
      schedule.lastAdmittedAtMs = nowMs;
    },
    nextRetryAfterMs(kind, minDelayMs, nowMs) {
      const schedule = scheduleOf(kind);
      const nextAtMs = schedule.lastRetryAtMs + schedule.meanIntervalMs;
      const retryAtMs = Math.min(nowMs + maxDelayMs, Math.max(nowMs + minDelayMs, nextAtMs));
      schedule.lastRetryAtMs = retryAtMs;
      return retryAtMs - nowMs;
    },
  };
}
