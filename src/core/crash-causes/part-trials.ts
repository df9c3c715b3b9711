import type { Suspicion } from './types';

/**
 * Has requests with a suspected part go to servers one at a time, at all instances together.
 *
 * Few crashes can't tell a part that crashes servers from one that merely stood there, above all where most requests hold it.
 * Meanwhile each request with it would end one more server. A request that is alone tells most: if it is answered, its parts are
 * sound; if its server crashes, hardly anything else explains it. The others are refused for a moment.
 */
export interface PartTrials {
  /**
   * Returns the time from which a request may be sent as far as trials that are open permit, monotonic ms; undefined if it
   * may be sent now.
   */
  openUntilMs(part: string, nowMs: number): number | undefined;
  /**
   * Returns the time from which a request with all that is suspected may be sent after the trials that have failed, monotonic
   * ms. `refusedUntilMs` is the end of the last refusal of the part, if there was one.
   */
  nextAtMs(part: string, suspicion: Suspicion, refusedUntilMs: number | undefined): number;
  /** Records that this instance sends a request with the part. */
  begin(part: string): void;
  /** Records that another instance has begun to. */
  recordOther(part: string, nowMs: number): void;
  /** Records that the trial of this instance has ended, or that another one tells the result of its own. */
  end(part: string): void;
}

/** Options of `createPartTrials`. */
export interface PartTrialsOptions {
  /** Returns the place of this instance among all instances, from 0, in the order in which they may try a part. */
  readonly rankOf: (part: string) => number;
}

/** Time for which a trial of another instance that tells no result holds requests back, ms. */
const MAX_OTHER_TRIAL_MS = 1_500;
/** Time after which a request that has to wait for a trial of this instance may be sent at the earliest, ms. */
const TRIAL_RETRY_MS = 300;
/** Pauses after the first and second failed trial, ms; after the third, requests with the part are refused for longer. */
const PAUSES_MS = [0, 300, 1_000];
/** Pause after further ones until they are refused, ms. */
const LAST_PAUSE_MS = 2_000;
/**
 * Time by which instances may try a part one after the other, ms, so that not all of them do so at once: more than a message
 * takes within a region, and to other regions once the part has been refused.
 */
const RANK_DELAY_MS = 100;
const RANK_DELAY_AFTER_REFUSAL_MS = 1_000;
/** Maximum of that delay while a part may well be sound, ms. */
const MAX_RANK_DELAY_MS = 1_000;

/** Creates trials, none at first. */
export function createPartTrials({ rankOf }: PartTrialsOptions): PartTrials {
  const own = new Set<string>();
  const othersUntilMs = new Map<string, number>();

  const openUntilMs = (part: string, nowMs: number): number | undefined => {
    if (own.has(part)) return nowMs + TRIAL_RETRY_MS;
    const untilMs = othersUntilMs.get(part) ?? -Infinity;
    if (untilMs > nowMs) return untilMs;
    othersUntilMs.delete(part);
    return undefined;
  };

  return {
    openUntilMs,
    nextAtMs(part, { failedTrials, learnedAtMs }, refusedUntilMs) {
      const rank = rankOf(part);
      const delayMs = Math.min(MAX_RANK_DELAY_MS, rank * RANK_DELAY_MS);
      const afterCrashMs = learnedAtMs + (PAUSES_MS[failedTrials] ?? LAST_PAUSE_MS) + delayMs;
      if (refusedUntilMs === undefined) return afterCrashMs;
      return Math.max(afterCrashMs, refusedUntilMs + rank * RANK_DELAY_AFTER_REFUSAL_MS);
    },
    begin(part) {
      own.add(part);
    },
    recordOther(part, nowMs) {
      othersUntilMs.set(part, nowMs + MAX_OTHER_TRIAL_MS);
    },
    end(part) {
      own.delete(part);
      othersUntilMs.delete(part);
    },
  };
}
