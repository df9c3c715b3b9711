import type { ForwardResult } from './types';

/**
 * How many requests of one service this instance may have open in one other region.
 *
 * Answers the second region: it may have a tenth of the capacity of this one, other regions may spill to it as
 * well, and nothing here knows how full it is. Every instance of every region would fill the same room at once.
 * The window needs no messages: it grows by one with each answer until the region first refuses for load, and by
 * one per round of answers from then on; a refusal halves it and closes it for a moment. So instances share what room there is
 * without knowing of one another, and cold caches warm up while little is sent.
 */
export interface ForwardWindow {
  /** Requests that may still be opened. */
  room(nowMs: number): number;
  begin(): void;
  end(result: ForwardResult, nowMs: number): void;
}

const FIRST_LIMIT = 2;
const LEAST_LIMIT = 1;
/** Far more than a small instance can hold open. */
const MOST_LIMIT = 256;
const KEPT_ON_REFUSAL = 0.5;
/** Refusals within this time speak of one and the same moment of load, ms. */
const PAUSE_AFTER_REFUSAL_MS = 500;
/** An unused window says nothing about today's room and starts anew, ms. */
const FORGET_AFTER_MS = 30_000;

/** A window that has seen nothing. */
export function createForwardWindow(): ForwardWindow {
  let limit = FIRST_LIMIT;
  let open = 0;
  let wasRefused = false;
  let closedUntilMs = -Infinity;
  let lastEndMs = -Infinity;

  return {
    room(nowMs) {
      if (open === 0 && nowMs - lastEndMs > FORGET_AFTER_MS) {
        limit = FIRST_LIMIT;
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
      lastEndMs = nowMs;
      switch (result) {
        case 'answered':
          if (wasFull) limit = Math.min(MOST_LIMIT, limit + (wasRefused ? 1 / limit : 1));
          return;
        case 'refusedForLoad':
        case 'failed':
          wasRefused = true;
          if (nowMs < closedUntilMs) return;
          limit = Math.max(LEAST_LIMIT, limit * KEPT_ON_REFUSAL);
          closedUntilMs = nowMs + PAUSE_AFTER_REFUSAL_MS;
          return;
        default:
          result satisfies never;
      }
    },
  };
}
