/** A request whose first byte is predicted to miss the latency objective. */
export interface LateRequest {
  /** Key of requests that servers treat alike. */
  readonly kind: string;
  /** Predicted time to its first byte, ms. */
  readonly predictedMs: number;
  /** Part of the predicted time that the prefill of its own prompt takes, ms. */
  readonly ownPrefillMs: number;
  readonly objectiveMs: number;
}

/** Decides which late requests are admitted, so that long prompts are not refused far more often than short ones. */
export interface SizeAdmission {
  /** Records a request that is predicted to meet its objective, and the prefill time of its own prompt, ms. */
  recordInTime(kind: string, ownPrefillMs: number): void;
  /** Whether a request that is predicted late is admitted anyway, because only its own size makes it late. */
  admits(request: LateRequest): boolean;
}

/**
 * Probability that a request is admitted if only its own size makes it late. Operators require that the largest
 * requests are served at least half as often as all; some admitted requests fail later, mostly the largest, which take
 * longest.
 */
const ADMITTED_SHARE = 0.6;
/** Number of samples after which the mean becomes a moving average. */
const MAX_SAMPLES = 100;

interface Mean {
  samples: number;
  ms: number;
}

/**
 * Creates an admission by size without any data.
 *
 * Requests whose first byte is predicted late are refused. When servers have little capacity, that affects the longest
 * prompts first, regardless of the order of arrival: the largest are refused at each retry and never served while short
 * ones always are, so the share of refusals grows with the prompt size. Among requests predicted to be in time, the
 * mean prefill time is known. If a late request would be in time with that prefill time, only its own size makes it
 * late, and a random share of such requests is admitted. No size classes are learned, because one instance of many, or
 * one that has just started, has seen too few requests to tell large from small.
 */
export function createSizeAdmission(random: () => number): SizeAdmission {
  const means = new Map<string, Mean>();

  return {
    recordInTime(kind, ownPrefillMs) {
      const mean = means.get(kind) ?? { samples: 0, ms: 0 };
      means.set(kind, mean);
      mean.samples = Math.min(MAX_SAMPLES, mean.samples + 1);
      mean.ms += (ownPrefillMs - mean.ms) / mean.samples;
    },
    admits({ kind, predictedMs, ownPrefillMs, objectiveMs }) {
      const typicalPrefillMs = Math.min(ownPrefillMs, means.get(kind)?.ms ?? 0);
      const isLateOnlyForItsSize = predictedMs - ownPrefillMs + typicalPrefillMs <= objectiveMs;
      return isLateOnlyForItsSize && random() < ADMITTED_SHARE;
    },
  };
}
