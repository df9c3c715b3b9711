/** The bound on repeats that all instances together keep. */
export interface FleetRetryBudget {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats allowed beside that, over all instances and one window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** What one instance may repeat, per service. */
export interface RetryAllowance {
  /** Notes a request of a client. */
  noteRequest(service: string, nowMs: number): void;
  /** Takes one repeat out of the budget; false where there is none left. */
  take(service: string, nowMs: number): boolean;
}

interface Window {
  startedAtMs: number;
  /** Requests and repeats of this window and of the one before. */
  requests: number;
  repeats: number;
  requestsBefore: number;
  repeatsBefore: number;
}

/**
 * Part of the fleet's budget that is handed out. A window here and the one in which a server's owner counts
 * begin at different times, so a burst of repeats at the seam may fall into one of theirs.
 */
const SHARE_USED = 0.5;

/**
 * The share of one instance in a budget that all instances keep together.
 *
 * Answers failures that hit many requests at once: each is repeated, the repeats load the servers that are
 * left, and more fail. A bound per instance alone adds up over the fleet; asking one another costs messages
 * for each repeat. The part that goes with requests needs neither, since each instance counts its own, and the
 * fixed part is divided by the number of instances.
 */
export function createRetryAllowance(
  budget: () => FleetRetryBudget,
  instances: () => number,
): RetryAllowance {
  const windows = new Map<string, Window>();

  const windowAt = (service: string, nowMs: number): Window => {
    const { windowMs } = budget();
    const known = windows.get(service);
    if (known !== undefined && nowMs - known.startedAtMs < windowMs) return known;
    const isNext = known !== undefined && nowMs - known.startedAtMs < 2 * windowMs;
    const next: Window = {
      startedAtMs: isNext ? known.startedAtMs + windowMs : nowMs,
      requests: 0,
      repeats: 0,
      requestsBefore: isNext ? known.requests : 0,
      repeatsBefore: isNext ? known.repeats : 0,
    };
    windows.set(service, next);
    return next;
  };

  return {
    noteRequest(service, nowMs) {
      windowAt(service, nowMs).requests += 1;
    },
    take(service, nowMs) {
      const { ratio, slack, windowMs } = budget();
      const window = windowAt(service, nowMs);
      // What is left of the window before counts less the more of this one has passed.
      const left = 1 - (nowMs - window.startedAtMs) / windowMs;
      const requests = window.requests + window.requestsBefore * left;
      const repeats = window.repeats + window.repeatsBefore * left;
      const allowed = SHARE_USED * (ratio * requests + slack / Math.max(1, instances()));
      if (repeats + 1 > allowed) return false;
      window.repeats += 1;
      return true;
    },
  };
}
