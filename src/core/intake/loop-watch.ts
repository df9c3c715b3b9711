/** Knows how late the event loop is, from a tick that it is to make at fixed times. */
export interface LoopWatch {
  /** Notes a tick that was due at `dueAtMs`. */
  noteTick(dueAtMs: number, nextDueAtMs: number, nowMs: number): void;
  /** How late the loop was at its last tick, ms. */
  lagMs(): number;
  /** Whether turns of the loop are so long that requests wait unread. */
  isLate(nowMs: number): boolean;
  /** Time that a request which is found now has probably waited unread, ms. */
  waitedMs(nowMs: number): number;
}

/**
 * Lateness above which requests count as waiting. A process whose share of a processor is dealt out in tenths of a
 * second is late by up to such a tenth without a backlog, ms.
 */
const LATE_MS = 100;

/**
 * A watch over a loop that is in time.
 *
 * Answers a small instance to which all callers come at once. What a turn of its loop finds, it handles before it looks
 * again; with some hundred requests that takes seconds, in which further ones wait in sockets unseen. Counted from
 * when it is read, a request has all its time left and is sent on though its caller gave up long ago. One notices
 * requests that are placed and whose callers are gone in the same instant.
 *
 * Ticks are handled at the start of a turn, so what is found now has waited since the last one at the least, where that
 * is overdue, and for some part of the turn before it, half of it on average.
 */
export function createLoopWatch(): LoopWatch {
  let lagMs = 0;
  let nextDueAtMs = Infinity;
  const overdueMs = (nowMs: number) => Math.max(0, nowMs - nextDueAtMs);
  const isLate = (nowMs: number) => lagMs > LATE_MS || overdueMs(nowMs) > LATE_MS;
  return {
    noteTick(dueAtMs, nextAtMs, nowMs) {
      lagMs = Math.max(0, nowMs - dueAtMs);
      nextDueAtMs = nextAtMs;
    },
    lagMs: () => lagMs,
    isLate,
    waitedMs: (nowMs) => (isLate(nowMs) ? overdueMs(nowMs) + lagMs / 2 : 0),
  };
}
