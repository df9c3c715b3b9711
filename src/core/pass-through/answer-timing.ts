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
  let stalledFromMs = lastByteAtMs + STALL_TIMEOUT_MS;
  let firstByteAtMs: number | undefined;
  let hasProgressed = false;
  return {
    lastByteAtMs: () => (isPaused ? clock.monotonicMs() : lastByteAtMs),
    firstByteAtMs: () => firstByteAtMs,
    hasProgressed: () => hasProgressed,
    stalledFromMs: () => (isPaused ? clock.monotonicMs() + STALL_TIMEOUT_MS : stalledFromMs),
    isPaused: () => isPaused,
    recordByte() {
      lastByteAtMs = clock.monotonicMs();
    },
    recordFirstByte() {
      firstByteAtMs ??= clock.monotonicMs();
    },
    recordProgress() {
      hasProgressed = true;
      stalledFromMs = clock.monotonicMs() + STALL_TIMEOUT_MS;
    },
    recordPaused() {
      isPaused = true;
    },
    recordResumed() {
      isPaused = false;
      lastByteAtMs = clock.monotonicMs();
      stalledFromMs = lastByteAtMs + STALL_TIMEOUT_MS;
    },
  };
}
