import { LRUCache } from 'lru-cache';

/** What this instance knows of the parts of prompts of one service: how common each is, and when it was last answered. */
export interface PartHistory {
  /** Records that a request with these parts is sent. */
  recordSent(parts: readonly string[], nowMs: number): void;
  /** Records that a request with these parts was answered completely, here or as another instance states. */
  recordAnswered(parts: readonly string[], atMs: number): void;
  /** Returns the time of the last complete answer on a part, monotonic ms; -Infinity if none is known. */
  answeredAtMs(part: string): number;
  /** Returns the share of requests that hold a part, from 0 to 1. */
  shareOf(part: string, nowMs: number): number;
  /** Records that a request of this instance was answered completely. */
  countAnswer(nowMs: number): void;
  /** Returns how many requests of this instance have been answered since a time, of those of the last minute. */
  answersSince(atMs: number): number;
}

/** Parts that are kept; the least recently used are dropped first. */
const MAX_PARTS = 4_096;
/** Time in which what is known of how common a part is halves its weight, ms. */
const HALF_LIFE_MS = 30_000;
/** Seconds for which answers are counted. */
const ANSWER_WINDOW_S = 60;
const MS_PER_S = 1_000;

/** A count in which older events weigh less. */
interface FadingCount {
  readonly value: number;
  readonly atMs: number;
}

const NO_COUNT: FadingCount = { value: 0, atMs: 0 };

interface PartRecord {
  sent: FadingCount;
  answeredAtMs: number;
}

function fadedValue({ value, atMs }: FadingCount, nowMs: number): number {
  return value * 2 ** (-Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

function incremented(count: FadingCount, nowMs: number): FadingCount {
  return { value: fadedValue(count, nowMs) + 1, atMs: nowMs };
}

/** Creates a history without parts. */
export function createPartHistory(): PartHistory {
  const records = new LRUCache<string, PartRecord>({ max: MAX_PARTS });
  let sent = NO_COUNT;
  /** Answers by second; a slot counts only for the second that it names. */
  const answers = Array.from({ length: ANSWER_WINDOW_S }, () => ({ second: -1, count: 0 }));

  const recordOf = (part: string): PartRecord => {
    const known = records.get(part);
    if (known !== undefined) return known;
    const added: PartRecord = { sent: NO_COUNT, answeredAtMs: -Infinity };
    records.set(part, added);
    return added;
  };

  return {
    recordSent(parts, nowMs) {
      sent = incremented(sent, nowMs);
      for (const part of parts) {
        const record = recordOf(part);
        record.sent = incremented(record.sent, nowMs);
      }
    },
    recordAnswered(parts, atMs) {
      for (const part of parts) {
        const record = recordOf(part);
        record.answeredAtMs = Math.max(record.answeredAtMs, atMs);
      }
    },
    answeredAtMs: (part) => records.peek(part)?.answeredAtMs ?? -Infinity,
    // One more request with the part is assumed, so that from few requests no part counts as rare.
    shareOf(part, nowMs) {
      const count = fadedValue(records.peek(part)?.sent ?? NO_COUNT, nowMs);
      return (count + 1) / (fadedValue(sent, nowMs) + 1);
    },
    countAnswer(nowMs) {
      const second = Math.floor(nowMs / MS_PER_S);
      const slot = answers[second % ANSWER_WINDOW_S];
      if (slot === undefined) return;
      if (slot.second !== second) slot.count = 0;
      slot.second = second;
      slot.count += 1;
    },
    answersSince: (atMs) =>
      answers
        .filter(({ second }) => second >= Math.floor(atMs / MS_PER_S))
        .reduce((sum, { count }) => sum + count, 0),
  };
}
