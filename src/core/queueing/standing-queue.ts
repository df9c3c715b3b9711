/**
 * Tells a burst from lasting overload, after CoDel (RFC 8289): a queue that does its work empties now and then,
 * one that never does within an interval only adds delay.
 *
 * It answers saturation. With waits allowed up to the deadline, a service offered 1.5 times its capacity fills
 * its queue once and then keeps it full: throughput is the same, and every answer comes at its deadline's edge.
 * Operators would see a latency that stays at the deadline for as long as the overload lasts.
 */
export interface StandingQueue {
  /** Notes how long an entry had waited when its turn came. */
  noteWait(waitMs: number, nowMs: number): void;
  /** Notes that nothing waits. */
  noteEmpty(nowMs: number): void;
  /** Whether even the shortest wait of the last interval was above the target. */
  isStanding(): boolean;
}

/** Waits above which a queue counts as standing, and for how long. */
export interface StandingQueueOptions {
  readonly targetMs: number;
  readonly intervalMs: number;
}

/** A detector that begins with a queue in good order. */
export function createStandingQueue(options: StandingQueueOptions): StandingQueue {
  let intervalEndsAtMs = 0;
  let shortestWaitMs = Number.POSITIVE_INFINITY;
  let standing = false;

  return {
    noteWait(waitMs, nowMs) {
      shortestWaitMs = Math.min(shortestWaitMs, waitMs);
      if (waitMs <= options.targetMs) standing = false;
      if (nowMs < intervalEndsAtMs) return;
      standing = shortestWaitMs > options.targetMs;
      shortestWaitMs = Number.POSITIVE_INFINITY;
      intervalEndsAtMs = nowMs + options.intervalMs;
    },
    noteEmpty(nowMs) {
      standing = false;
      shortestWaitMs = Number.POSITIVE_INFINITY;
      intervalEndsAtMs = nowMs + options.intervalMs;
    },
    isStanding: () => standing,
  };
}
