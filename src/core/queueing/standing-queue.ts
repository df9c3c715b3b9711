import type { Priority } from '../configuration';

/**
 * Tells a burst from lasting overload, after CoDel (RFC 8289): a queue that does its work empties now and then,
 * one that never does within an interval only adds delay.
 *
 * It answers saturation. With waits allowed up to the deadline, a service offered 1.5 times its capacity fills
 * its queue once and then keeps it full: throughput is the same, and every answer comes at its deadline's edge.
 * Operators would see a latency that stays at the deadline for as long as the overload lasts.
 */
export interface StandingQueue {
  /** Notes how long a request of a class and caller had waited when its turn came. */
  noteTurn(flow: QueueFlow, waitMs: number, nowMs: number): void;
  /** Whether the queue stands: that of the class, or that of the caller in it. */
  isStanding(flow: QueueFlow, nowMs: number): boolean;
}

/** Whose requests are meant. */
export interface QueueFlow {
  readonly priority: Priority;
  readonly callerId: string;
}

/** Waits above which a queue counts as standing, ms. */
export type StandingTargets = Readonly<Record<Priority, number>>;

/** How long a queue may go without one short wait before it counts as standing. */
const INTERVAL_MS = 1_000;

/** After this long without a turn nothing is said of a queue any more. */
const FORGOTTEN_AFTER_MS = 10_000;

/** Callers beyond this many are looked through for forgotten ones. */
const MOST_CALLERS = 1_000;

/** Share of the target below which all waits of an interval must stay for a standing queue to count as dissolved. */
const DISSOLVED_SHARE = 0.5;

interface Detector {
  noteWait(waitMs: number, nowMs: number): void;
  isStanding(nowMs: number): boolean;
}

/**
 * A queue becomes standing by an interval without a short wait, and dissolves by one without a long wait. Were one
 * short wait enough to dissolve it, lasting overload would make it swing: let in all that fits the deadline
 * for an interval, refuse for the next.
 */
function createDetector(targetMs: number): Detector {
  let intervalEndsAtMs: number | undefined;
  let shortestWaitMs = Number.POSITIVE_INFINITY;
  let longestWaitMs = 0;
  let lastNotedAtMs = Number.NEGATIVE_INFINITY;
  let standing = false;

  return {
    noteWait(waitMs, nowMs) {
      intervalEndsAtMs ??= nowMs + INTERVAL_MS;
      lastNotedAtMs = nowMs;
      shortestWaitMs = Math.min(shortestWaitMs, waitMs);
      longestWaitMs = Math.max(longestWaitMs, waitMs);
      if (nowMs < intervalEndsAtMs) return;
      if (shortestWaitMs > targetMs) standing = true;
      else if (longestWaitMs < DISSOLVED_SHARE * targetMs) standing = false;
      shortestWaitMs = Number.POSITIVE_INFINITY;
      longestWaitMs = 0;
      intervalEndsAtMs = nowMs + INTERVAL_MS;
    },
    isStanding: (nowMs) => standing && nowMs - lastNotedAtMs < FORGOTTEN_AFTER_MS,
  };
}

/**
 * Detectors for each class and for each caller. In a queue that is fair between callers a light one's short
 * waits would hide that a heavy one's own requests stand.
 */
export function createStandingQueue(targets: StandingTargets): StandingQueue {
  const classes: Readonly<Record<Priority, Detector>> = {
    interactive: createDetector(targets.interactive),
    batch: createDetector(targets.batch),
  };
  const callers = new Map<string, Detector>();
  const keyOf = ({ priority, callerId }: QueueFlow) => `${priority}/${callerId}`;

  const dropSettled = (nowMs: number) => {
    for (const [key, detector] of callers) if (!detector.isStanding(nowMs)) callers.delete(key);
  };

  return {
    noteTurn(flow, waitMs, nowMs) {
      classes[flow.priority].noteWait(waitMs, nowMs);
      const known = callers.get(keyOf(flow));
      if (known === undefined && callers.size >= MOST_CALLERS) dropSettled(nowMs);
      const own = known ?? createDetector(targets[flow.priority]);
      callers.set(keyOf(flow), own);
      own.noteWait(waitMs, nowMs);
    },
    isStanding: (flow, nowMs) =>
      classes[flow.priority].isStanding(nowMs) ||
      (callers.get(keyOf(flow))?.isStanding(nowMs) ?? false),
  };
}
