/** A request whose first byte is predicted too late. */
export interface LateRequest {
  /** Requests that servers treat alike. */
  readonly kind: string;
  /** Time to its first byte, and the part of it in which its own prompt is read, ms. */
  readonly predictedMs: number;
  readonly ownReadMs: number;
  readonly objectiveMs: number;
}

/** Sees to it that long prompts are let in about as often as short ones. */
export interface SizeAdmission {
  /** Notes that a request is predicted in time, and the time in which its own prompt is read, ms. */
  noteInTime(kind: string, ownReadMs: number): void;
  /** Whether a request that is predicted late is let in all the same, since only its own size makes it late. */
  letsIn(request: LateRequest): boolean;
}

/**
 * Part of those that are late for their size alone which is let in. Operators hold the largest to half of what the whole
 * is served at; a part of those let in is lost on the way, most of the largest, which take longest.
 */
const LET_IN = 0.6;
/** Samples after which the mean follows the newest ones. */
const MOST_SAMPLES = 100;

interface Mean {
  samples: number;
  ms: number;
}

/**
 * Admission by size, of which nothing is known yet.
 *
 * Answers prompts of very different sizes at servers with little room. A request is refused where its first byte is
 * predicted late, and the longest prompt is the first of which that is predicted, whatever its turn. So the largest are
 * refused each time they come back and are never served, while short ones are all day; one notices a share of refusals
 * that grows with the prompt. Where a prompt as long as those that are in time would be in time now, it is its own size
 * that makes a request late, and a drawn part of those is let in. No class of size is learned for that, since an instance
 * of many, or one that has just started, has not seen enough requests to tell large from small.
 */
export function createSizeAdmission(draw: () => number): SizeAdmission {
  const means = new Map<string, Mean>();

  return {
    noteInTime(kind, ownReadMs) {
      const mean = means.get(kind) ?? { samples: 0, ms: 0 };
      means.set(kind, mean);
      mean.samples = Math.min(MOST_SAMPLES, mean.samples + 1);
      mean.ms += (ownReadMs - mean.ms) / mean.samples;
    },
    letsIn({ kind, predictedMs, ownReadMs, objectiveMs }) {
      const usualReadMs = Math.min(ownReadMs, means.get(kind)?.ms ?? 0);
      const isLateForItsSize = predictedMs - ownReadMs + usualReadMs <= objectiveMs;
      return isLateForItsSize && draw() < LET_IN;
    },
  };
}
