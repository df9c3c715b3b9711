/** Limit on the retries of all instances together. */
export interface FleetRetryBudget {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window, over all instances. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Retries that one instance may send, per service. */
export interface RetryAllowance {
  /** Records a request of a caller. */
  recordRequest(service: string, nowMs: number): void;
  /** Takes one retry from the budget; returns false if none remains. */
  take(service: string, nowMs: number): boolean;
  /** Gives back a retry that was taken and did not reach any server. */
  giveBack(service: string, nowMs: number): void;
}

interface CountingWindow {
  startedAtMs: number;
  /** Requests and retries of this window and of the previous one. */
  requests: number;
  retries: number;
  previousRequests: number;
  previousRetries: number;
}

/**
 * Share of the fleet's budget that is used. The windows here and those in which a server's owner counts begin at
 * different times, so the retries of two windows here may fall into one of theirs.
 */
const USED_BUDGET_SHARE = 0.5;

/**
 * Creates one instance's share of the retry budget of all instances.
 *
 * When a failure affects many requests at once, each is retried, the retries load the remaining servers, and more
 * requests fail. A fixed limit per instance would add up over the fleet, and coordination would cost messages for each
 * retry. Here each instance applies the ratio to its own requests, which needs no messages; the fixed part is divided
 * by the number of instances.
 */
export function createRetryAllowance(
  budget: () => FleetRetryBudget,
  instances: () => number,
): RetryAllowance {
  const windows = new Map<string, CountingWindow>();

  const windowAt = (service: string, nowMs: number): CountingWindow => {
    const { windowMs } = budget();
    const existing = windows.get(service);
    if (existing !== undefined && nowMs - existing.startedAtMs < windowMs) return existing;
    const isNext = existing !== undefined && nowMs - existing.startedAtMs < 2 * windowMs;
    const created: CountingWindow = {
      startedAtMs: isNext ? existing.startedAtMs + windowMs : nowMs,
      requests: 0,
      retries: 0,
      previousRequests: isNext ? existing.requests : 0,
      previousRetries: isNext ? existing.retries : 0,
    };
    windows.set(service, created);
    return created;
  };

  return {
    recordRequest(service, nowMs) {
      windowAt(service, nowMs).requests += 1;
    },
    take(service, nowMs) {
      const { ratio, slack, windowMs } = budget();
      const window = windowAt(service, nowMs);
      // Counts of the previous window weigh less the more of the current window has passed.
      const previousWeight = 1 - (nowMs - window.startedAtMs) / windowMs;
      const requests = window.requests + window.previousRequests * previousWeight;
      const retries = window.retries + window.previousRetries * previousWeight;
      const allowed = USED_BUDGET_SHARE * (ratio * requests + slack / Math.max(1, instances()));
      if (retries + 1 > allowed) return false;
      window.retries += 1;
      return true;
    },
    giveBack(service, nowMs) {
      const window = windowAt(service, nowMs);
      if (window.retries > 0) window.retries -= 1;
    },
  };
}
