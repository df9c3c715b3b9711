import type { Clock } from '../clock';

/** When the parts of the answer of one attempt arrived. */
export interface AnswerTiming {
  /** Time of the last byte, or else of the start of the attempt, monotonic ms; the present time while reading is paused. */
  lastByteAtMs(): number;
  /** Time of the first byte of a body, monotonic ms; undefined before that. */
  firstByteAtMs(): number | undefined;
  /** Whether something has arrived that the caller can use. */
  hasProgressed(): boolean;
  /** Time from which the attempt counts as stalled if nothing more arrives that the caller can use, monotonic ms. */
  stalledFromMs(): number;
  /**
   * Time since something arrived that the caller can use, since the start of the attempt, or since reading went on after a
   * pause, ms.
   */
  unprogressedMs(): number;
  /** Whether the answer is not read at the moment. */
  isPaused(): boolean;
  recordByte(): void;
  recordFirstByte(): void;
  recordProgress(): void;
  /** Records that the reading of the answer is paused. */
  recordPaused(): void;
  /** Records that reading goes on after a pause, in which nothing could arrive. */
  recordResumed(): void;
}

/**
 * Time without progress after which an attempt is stalled although bytes arrive, ms: longer than the silence after which
 * nothing arrives.
 */
export const STALL_TIMEOUT_MS = 2_000;

/** Creates the timing of an attempt that begins now. */
export function createAnswerTiming(clock: Pick<Clock, 'monotonicMs'>): AnswerTiming {
  let isPaused = false;
  let lastByteAtMs = clock.monotonicMs();
  let progressedAtMs = lastByteAtMs;
  let firstByteAtMs: number | undefined;
  let hasProgressed = false;
  return {
    lastByteAtMs: () => (isPaused ? clock.monotonicMs() : lastByteAtMs),
    firstByteAtMs: () => firstByteAtMs,
    hasProgressed: () => hasProgressed,
    stalledFromMs: () => (isPaused ? clock.monotonicMs() : progressedAtMs) + STALL_TIMEOUT_MS,
    unprogressedMs: () => (isPaused ? 0 : clock.monotonicMs() - progressedAtMs),
    isPaused: () => isPaused,
    recordByte() {
      lastByteAtMs = clock.monotonicMs();
    },
    recordFirstByte() {
      firstByteAtMs ??= clock.monotonicMs();
    },
    recordProgress() {
      hasProgressed = true;
      progressedAtMs = clock.monotonicMs();
    },
    recordPaused() {
      isPaused = true;
    },
    recordResumed() {
      isPaused = false;
      lastByteAtMs = clock.monotonicMs();
      progressedAtMs = lastByteAtMs;
    },
  };
}
