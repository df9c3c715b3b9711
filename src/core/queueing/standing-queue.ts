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
  /** Notes that nothing of the caller waits in the class. */
  noteCallerEmpty(flow: QueueFlow): void;
  /** Notes that nothing at all waits. */
  noteEmpty(nowMs: number): void;
  /** Whether even the shortest wait of an interval was above the target: of the class, or of the caller. */
  isStanding(flow: QueueFlow): boolean;
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

interface Detector {
  noteWait(waitMs: number, nowMs: number): void;
  noteEmpty(nowMs: number): void;
  isStanding(): boolean;
}

function createDetector(targetMs: number): Detector {
  let intervalEndsAtMs: number | undefined;
  let shortestWaitMs = Number.POSITIVE_INFINITY;
  let standing = false;

  return {
    noteWait(waitMs, nowMs) {
      intervalEndsAtMs ??= nowMs + INTERVAL_MS;
      shortestWaitMs = Math.min(shortestWaitMs, waitMs);
      if (waitMs <= targetMs) standing = false;
      if (nowMs < intervalEndsAtMs) return;
      standing = shortestWaitMs > targetMs;
      shortestWaitMs = Number.POSITIVE_INFINITY;
      intervalEndsAtMs = nowMs + INTERVAL_MS;
    },
    noteEmpty(nowMs) {
      standing = false;
      shortestWaitMs = Number.POSITIVE_INFINITY;
      intervalEndsAtMs = nowMs + INTERVAL_MS;
    },
    isStanding: () => standing,
  };
}

/**
 * Detectors for each class and for each caller with something waiting. In a queue that is fair between callers
 * a light one's short waits would hide that a heavy one's own requests stand.
 */
export function createStandingQueue(targets: StandingTargets): StandingQueue {
  const classes: Readonly<Record<Priority, Detector>> = {
    interactive: createDetector(targets.interactive),
    batch: createDetector(targets.batch),
  };
  const callers = new Map<string, Detector>();
  const keyOf = ({ priority, callerId }: QueueFlow) => `${priority}/${callerId}`;

  return {
    noteTurn(flow, waitMs, nowMs) {
      classes[flow.priority].noteWait(waitMs, nowMs);
      const own = callers.get(keyOf(flow)) ?? createDetector(targets[flow.priority]);
      callers.set(keyOf(flow), own);
      own.noteWait(waitMs, nowMs);
    },
    noteCallerEmpty: (flow) => callers.delete(keyOf(flow)),
    noteEmpty(nowMs) {
      classes.interactive.noteEmpty(nowMs);
      classes.batch.noteEmpty(nowMs);
      callers.clear();
    },
    isStanding: (flow) =>
      classes[flow.priority].isStanding() || (callers.get(keyOf(flow))?.isStanding() ?? false),
  };
}
