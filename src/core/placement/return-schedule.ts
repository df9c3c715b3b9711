/** Says when callers that are refused are to come back. */
export interface ReturnSchedule {
  /** Notes that a request of this kind was let in. */
  noteAdmitted(kind: string, nowMs: number): void;
  /** Time after which a refused request of this kind is to come back, ms. */
  nextReturnMs(kind: string, leastMs: number, nowMs: number): number;
}

interface KindReturns {
  /** Mean time between two requests that are let in, ms. */
  gapMs: number;
  lastAdmittedAtMs: number | undefined;
  /** When the last of those that were refused comes back, monotonic ms. */
  lastReturnAtMs: number;
}

/** Weight of the newest gap; some ten requests decide, so that the rate follows a burst within a second. */
const NEWEST_WEIGHT = 0.1;
/** Gap until two requests were let in, ms: some twenty a second, what a handful of servers bears. */
const FIRST_GAP_MS = 50;
/** A longer pause says that nobody asked, not that nobody was let in, ms. */
const LONGEST_GAP_MS = 500;

/**
 * A schedule that has refused nobody.
 *
 * Answers a burst that is refused. If each caller is told the same time, the burst comes back whole and is
 * refused again; most callers then give up for good although the servers have room a moment later. One notices
 * refusals in waves, with idle servers between them. So each refusal takes the next place in line: callers come
 * back in the order in which they were refused, no faster than requests of their kind were let in lately.
 */
export function createReturnSchedule(longestMs: number): ReturnSchedule {
  const kinds = new Map<string, KindReturns>();

  const at = (kind: string): KindReturns => {
    const known = kinds.get(kind);
    if (known !== undefined) return known;
    const fresh = { gapMs: FIRST_GAP_MS, lastAdmittedAtMs: undefined, lastReturnAtMs: 0 };
    kinds.set(kind, fresh);
    return fresh;
  };

  return {
    noteAdmitted(kind, nowMs) {
      const returns = at(kind);
      if (returns.lastAdmittedAtMs !== undefined) {
        const gapMs = Math.min(LONGEST_GAP_MS, nowMs - returns.lastAdmittedAtMs);
        returns.gapMs += (gapMs - returns.gapMs) * NEWEST_WEIGHT;
      }
      returns.lastAdmittedAtMs = nowMs;
    },
    nextReturnMs(kind, leastMs, nowMs) {
      const returns = at(kind);
      const inLineAtMs = returns.lastReturnAtMs + returns.gapMs;
      const atMs = Math.min(nowMs + longestMs, Math.max(nowMs + leastMs, inLineAtMs));
      returns.lastReturnAtMs = atMs;
      return atMs - nowMs;
    },
  };
}
