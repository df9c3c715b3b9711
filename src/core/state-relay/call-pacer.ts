/**
 * Limits the rate of calls to the source after answers with changes.
 *
 * A single change is fetched at once. When the servers of a domain are replaced or a fleet starts, changes come by the
 * dozen, and without a limit each of them would cost each watcher a call. With the limit, changes within one interval
 * share an answer.
 */
export interface CallPacer {
  /** Returns the monotonic time at which the next call may be made. */
  nextCallAtMs(): number;
  /** Records an answer with changes. */
  recordChanges(nowMs: number): void;
}

/** Maximum number of answers with changes that may follow one another without a delay. */
const MAX_BURST = 3;
/** Minimum interval between answers with changes after a burst, ms: a fraction of the time until a change is due. */
const MIN_INTERVAL_MS = 500;

/** Creates a pacer without recorded changes. */
export function createCallPacer(): CallPacer {
  /** Time at which the intervals of all recorded answers would end if no two of them overlapped. */
  let scheduledUpToMs = -Infinity;
  return {
    nextCallAtMs: () => scheduledUpToMs - (MAX_BURST - 1) * MIN_INTERVAL_MS,
    recordChanges(nowMs) {
      scheduledUpToMs = Math.max(nowMs, scheduledUpToMs) + MIN_INTERVAL_MS;
    },
  };
}
