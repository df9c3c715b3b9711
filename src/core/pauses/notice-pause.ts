/** The two clocks of one look. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly unixMs: number;
}

/**
 * A gap between two looks that is longer than this counts as a pause. The looks are 250 ms apart; a busy event
 * loop or a large garbage collection delays one by some hundred ms. Within a second nothing is decided in the
 * fleet on which an instance that missed it could act wrongly: its peers do not even suspect it yet.
 */
export const PAUSE_THRESHOLD_MS = 1_000;

/**
 * How long this process stood still between two looks, or undefined when it did not.
 *
 * Answers requests that wait in a process which is frozen and woken: to itself no time has passed, while others
 * took its work over, the configuration tightened and deadlines ran out. A stopped process shows on the
 * monotonic clock. On a suspended machine that clock stands still too, and only the wall clock jumps; a wall
 * clock that is set forward looks the same and costs one refresh in vain.
 */
export function noticedPauseMs(before: ClockReading, now: ClockReading): number | undefined {
  const monotonicGapMs = now.monotonicMs - before.monotonicMs;
  const unixGapMs = now.unixMs - before.unixMs;
  const gapMs = Math.max(monotonicGapMs, unixGapMs);
  return gapMs > PAUSE_THRESHOLD_MS ? gapMs : undefined;
}
