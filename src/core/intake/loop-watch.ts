/** Measures how late the event loop is, from a tick that is due at fixed times. */
export interface LoopWatch {
  /** Records a tick that was due at `dueAtMs`. */
  recordTick(dueAtMs: number, nextDueAtMs: number, nowMs: number): void;
  /** Lag of the loop at its last tick, ms. */
  lagMs(): number;
  /** Whether turns of the loop are so long that requests wait unread. */
  isLate(nowMs: number): boolean;
  /** Estimated time for which a request that is read now has waited unread, ms. */
  waitedMs(nowMs: number): number;
  /** Maximum time by which that estimate may be too long, ms. */
  unsureMs(nowMs: number): number;
}

/**
 * Lag above which requests count as waiting, ms. A process whose processor share is allotted in
 * tenths of a second lags by up to such a tenth without a backlog.
 */
const MAX_LAG_MS = 100;

/**
 * Creates a watch that is updated by a periodic tick of the event loop.
 *
 * The watch is for a small instance that gets the requests of all callers at once. A turn of its
 * loop handles everything that it finds before the loop polls again; with some hundred requests
 * that takes seconds, during which further ones wait in sockets unseen. Counted from when it is
 * read, such a request has all its time remaining and is sent on although its caller gave up long
 * ago. The symptom is requests that are placed in the same instant in which their callers are found
 * to be gone.
 *
 * Ticks are handled at the start of a turn. So if the next tick is overdue, a request that is read
 * now has waited at least since that tick was due, and also for a part of the previous turn, half
 * of it on average.
 */
export function createLoopWatch(): LoopWatch {
  let lagMs = 0;
  let nextDueAtMs = Infinity;
  const overdueMs = (nowMs: number) => Math.max(0, nowMs - nextDueAtMs);
  const isLate = (nowMs: number) => lagMs > MAX_LAG_MS || overdueMs(nowMs) > MAX_LAG_MS;
  return {
    recordTick(dueAtMs, nextAtMs, nowMs) {
      lagMs = Math.max(0, nowMs - dueAtMs);
      nextDueAtMs = nextAtMs;
    },
    lagMs: () => lagMs,
    isLate,
    waitedMs: (nowMs) => (isLate(nowMs) ? overdueMs(nowMs) + lagMs / 2 : 0),
    unsureMs: (nowMs) => (isLate(nowMs) ? lagMs / 2 : 0),
  };
}
