/**
 * When the source may be asked again after it had news.
 *
 * A single change is learned of at once. When the servers of a domain are replaced or a fleet starts, changes come by
 * the dozen, and without a pace each of them is a call of its own for each watcher; those that come within one rest share
 * an answer instead.
 */
export interface NewsPace {
  /** Monotonic time at which the next call may be made. */
  nextCallAtMs(): number;
  /** An answer with news has come. */
  noteNews(nowMs: number): void;
}

/** Answers with news that may follow one another at once. */
const AT_ONCE = 3;
/** Rest between two answers with news beyond that, ms: a fraction of the time in which a change must be in force. */
const REST_MS = 500;

/** A pace without news so far. */
export function createNewsPace(): NewsPace {
  /** Time at which all news so far would have come, had each been followed by a whole rest. */
  let paidUpToMs = -Infinity;
  return {
    nextCallAtMs: () => paidUpToMs - (AT_ONCE - 1) * REST_MS,
    noteNews(nowMs) {
      paidUpToMs = Math.max(nowMs, paidUpToMs) + REST_MS;
    },
  };
}
