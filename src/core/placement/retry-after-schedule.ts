/** Properties of a refused request that determine when it should be retried. */
export interface RefusedRequest {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Minimum delay of its retry, ms. */
  readonly minDelayMs: number;
  /** Latest retry that can be served before its deadline, monotonic ms. */
  readonly latestRetryAtMs: number;
}

/** Computes when refused callers should retry. */
export interface RetryAfterSchedule {
  /** Records that a request to a service was admitted. */
  recordAdmitted(service: string, nowMs: number): void;
  /**
   * Returns the delay after which a refused request should be retried, ms; undefined if that retry would be too late to be
   * served before its deadline.
   */
  nextRetryAfterMs(request: RefusedRequest, nowMs: number): number | undefined;
}

interface ServiceSchedule {
  /** Mean interval between two admitted requests, ms. */
  meanIntervalMs: number;
  lastAdmittedAtMs: number | undefined;
  /** Latest scheduled retry per priority, monotonic ms. */
  readonly lastRetryAtMs: Map<number, number>;
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
 * than requests of their service have recently been admitted. All kinds of requests to a service share that rate, since
 * they share its servers. More urgent requests do not wait for the retries of less urgent ones, but delay those that are
 * scheduled afterwards.
 */
export function createRetryAfterSchedule(maxDelayMs: number): RetryAfterSchedule {
  const services = new Map<string, ServiceSchedule>();

  const scheduleOf = (service: string): ServiceSchedule => {
    const existing = services.get(service);
    if (existing !== undefined) return existing;
    const created: ServiceSchedule = {
      meanIntervalMs: INITIAL_INTERVAL_MS,
      lastAdmittedAtMs: undefined,
      lastRetryAtMs: new Map(),
    };
    services.set(service, created);
    return created;
  };

  /** Returns the latest scheduled retry of the given priority and of the more urgent ones. */
  const lastRetryUpTo = ({ lastRetryAtMs }: ServiceSchedule, priority: number): number =>
    [...lastRetryAtMs]
      .filter(([scheduledPriority]) => scheduledPriority <= priority)
      .reduce((latest, [, atMs]) => Math.max(latest, atMs), -Infinity);

  /** Delays the retries of less urgent requests that are refused from now on by one interval. */
  const delayLessUrgent = (schedule: ServiceSchedule, priority: number, nowMs: number): void => {
    const { lastRetryAtMs, meanIntervalMs } = schedule;
    for (const [other, atMs] of lastRetryAtMs) {
      const delayedMs = Math.min(nowMs + maxDelayMs, atMs + meanIntervalMs);
      if (other > priority && atMs > nowMs) lastRetryAtMs.set(other, delayedMs);
    }
  };

  return {
    recordAdmitted(service, nowMs) {
      const schedule = scheduleOf(service);
      if (schedule.lastAdmittedAtMs !== undefined) {
        const intervalMs = Math.min(MAX_INTERVAL_MS, nowMs - schedule.lastAdmittedAtMs);
        schedule.meanIntervalMs += (intervalMs - schedule.meanIntervalMs) * NEWEST_SAMPLE_WEIGHT;
      }
      schedule.lastAdmittedAtMs = nowMs;
    },
    nextRetryAfterMs({ service, priority, minDelayMs, latestRetryAtMs }, nowMs) {
      const schedule = scheduleOf(service);
      const nextAtMs = lastRetryUpTo(schedule, priority) + schedule.meanIntervalMs;
      const retryAtMs = Math.min(nowMs + maxDelayMs, Math.max(nowMs + minDelayMs, nextAtMs));
      // A caller that could not be served in time takes no place in the schedule.
      if (retryAtMs > latestRetryAtMs) return undefined;
      schedule.lastRetryAtMs.set(priority, retryAtMs);
      delayLessUrgent(schedule, priority, nowMs);
      return retryAtMs - nowMs;
    },
  };
}
