import type { ForwardResult } from './types';

/**
 * Limits how many requests of one service this instance may have open in one other region.
 *
 * Protects a region that receives spillover: it may have a tenth of this region's capacity, other regions may
 * spill to it too, and this instance does not know its load. Without a limit, the instances of all regions
 * would fill the same capacity at once.
 *
 * The window needs no messages between instances. It grows by one with each answer until the region first
 * refuses a request because of load, and from then on by one per round of answers; a refusal halves it and
 * closes it for a short time. So instances share the available capacity without knowing of one another, and
 * cold caches warm up while few requests are sent.
 */
export interface ForwardWindow {
  /** Returns how many more requests may be opened now. */
  remainingForwards(nowMs: number): number;
  begin(): void;
  end(result: ForwardResult, nowMs: number): void;
}

const INITIAL_LIMIT = 2;
const MIN_LIMIT = 1;
/** Far more than a small instance can hold open. */
const MAX_LIMIT = 256;
const REFUSAL_DECREASE_FACTOR = 0.5;
/**
 * Time for which a refusal closes the window, ms. Further refusals within it stem from the same load and are
 * ignored.
 */
const REFUSAL_BACKOFF_MS = 500;
/** Idle time after which the window is reset, ms: its limit no longer reflects the capacity of the region. */
const IDLE_RESET_MS = 30_000;

/** Creates a forward window at its initial limit. */
export function createForwardWindow(): ForwardWindow {
  let limit = INITIAL_LIMIT;
  let open = 0;
  let wasRefused = false;
  let closedUntilMs = -Infinity;
  let lastEndAtMs = -Infinity;

  return {
    remainingForwards(nowMs) {
      if (open === 0 && nowMs - lastEndAtMs > IDLE_RESET_MS) {
        limit = INITIAL_LIMIT;
        wasRefused = false;
      }
      return nowMs < closedUntilMs ? 0 : Math.floor(limit) - open;
    },
    begin() {
      open += 1;
    },
    end(result, nowMs) {
      const wasFull = open >= Math.floor(limit);
      open -= 1;
      lastEndAtMs = nowMs;
      switch (result) {
        case 'answered':
          if (wasFull) limit = Math.min(MAX_LIMIT, limit + (wasRefused ? 1 / limit : 1));
          return;
        case 'refusedForLoad':
        case 'failed':
          wasRefused = true;
          if (nowMs < closedUntilMs) return;
          limit = Math.max(MIN_LIMIT, limit * REFUSAL_DECREASE_FACTOR);
          closedUntilMs = nowMs + REFUSAL_BACKOFF_MS;
          return;
        default:
          result satisfies never;
      }
    },
  };
}
