import type { Priority } from '../configuration';

/**
 * Distinguishes a burst from lasting overload, after CoDel (RFC 8289): a queue that does its work empties now and
 * then, and one that never does within an interval only adds delay.
 *
 * Without this, waits are allowed up to the deadline. A service that is offered 1.5 times its capacity then fills
 * its queue once and keeps it full: the throughput is the same, and every answer comes just before its deadline.
 * Operators would see latency stay at the deadline for as long as the overload lasts.
 */
export interface StandingQueueDetector {
  /** Records how long a request of a class and caller had waited when its turn came. */
  recordTurn(flow: QueueFlow, waitMs: number, nowMs: number): void;
  /** Returns whether the queue of the class, or that of the caller within it, is standing. */
  isStanding(flow: QueueFlow, nowMs: number): boolean;
}

/** The requests of one caller in one priority class. */
export interface QueueFlow {
  readonly priority: Priority;
  readonly callerId: string;
}

/** Wait above which a queue counts as standing, per class, ms. */
export type StandingTargets = Readonly<Record<Priority, number>>;

/** Interval without a single short wait after which a queue counts as standing, ms. */
const INTERVAL_MS = 1_000;

/** Time without a turn after which a queue no longer counts as standing, ms. */
const STALE_AFTER_MS = 10_000;

/** Number of callers above which the detectors of queues that are not standing are dropped. */
const MAX_CALLERS = 1_000;

/** Share of the target below which all waits of an interval must stay for a standing queue to count as cleared. */
const CLEARED_SHARE = 0.5;

interface Detector {
  recordWait(waitMs: number, nowMs: number): void;
  isStanding(nowMs: number): boolean;
}

/**
 * Creates a detector of a standing queue. A queue becomes standing after an interval without a short wait, and is
 * cleared after one without a long wait. If a single short wait cleared it, lasting overload would make it
 * oscillate: admit everything that fits the deadline for one interval, and refuse it in the next.
 */
function createDetector(targetMs: number): Detector {
  let intervalEndsAtMs: number | undefined;
  let minWaitMs = Number.POSITIVE_INFINITY;
  let maxWaitMs = 0;
  let lastRecordedAtMs = Number.NEGATIVE_INFINITY;
  let standing = false;

  return {
    recordWait(waitMs, nowMs) {
      intervalEndsAtMs ??= nowMs + INTERVAL_MS;
      lastRecordedAtMs = nowMs;
      minWaitMs = Math.min(minWaitMs, waitMs);
      maxWaitMs = Math.max(maxWaitMs, waitMs);
      if (nowMs < intervalEndsAtMs) return;
      if (minWaitMs > targetMs) standing = true;
      else if (maxWaitMs < CLEARED_SHARE * targetMs) standing = false;
      minWaitMs = Number.POSITIVE_INFINITY;
      maxWaitMs = 0;
      intervalEndsAtMs = nowMs + INTERVAL_MS;
    },
    isStanding: (nowMs) => standing && nowMs - lastRecordedAtMs < STALE_AFTER_MS,
  };
}

/**
 * Creates detectors for each class and for each caller. In a queue that is fair between callers, the short waits of
 * a light caller would hide that the requests of a heavy caller keep waiting.
 */
export function createStandingQueueDetector(targets: StandingTargets): StandingQueueDetector {
  const classes: Readonly<Record<Priority, Detector>> = {
    interactive: createDetector(targets.interactive),
    batch: createDetector(targets.batch),
  };
  const callers = new Map<string, Detector>();
  const keyOf = ({ priority, callerId }: QueueFlow) => `${priority}/${callerId}`;

  const dropNotStanding = (nowMs: number) => {
    for (const [key, detector] of callers) if (!detector.isStanding(nowMs)) callers.delete(key);
  };

  return {
    recordTurn(flow, waitMs, nowMs) {
      classes[flow.priority].recordWait(waitMs, nowMs);
      const known = callers.get(keyOf(flow));
      if (known === undefined && callers.size >= MAX_CALLERS) dropNotStanding(nowMs);
      const own = known ?? createDetector(targets[flow.priority]);
      callers.set(keyOf(flow), own);
      own.recordWait(waitMs, nowMs);
    },
    isStanding: (flow, nowMs) =>
      classes[flow.priority].isStanding(nowMs) ||
      (callers.get(keyOf(flow))?.isStanding(nowMs) ?? false),
  };
}
