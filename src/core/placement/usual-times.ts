import { LRUCache } from 'lru-cache';

/** Time to the first byte that kinds of requests take by nature, without waits, as measured by this instance. */
export interface UsualTimes {
  /** Returns the usual time of a kind, ms; undefined until a few requests of it have been answered. */
  usualMs(kind: string): number | undefined;
  /** Records the time of one request without its predicted wait, ms. */
  record(kind: string, ownMs: number): void;
}

/** Number of samples that are kept of a kind; an odd number, so that the median is one of them. */
const MAX_SAMPLES = 9;
/** Number of samples from which on the usual time of a kind counts as known. */
const MIN_SAMPLES = 3;
/** Number of kinds that are kept; those that were seen last. */
const MAX_KINDS = 2_000;

function median(samples: readonly number[]): number | undefined {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/**
 * Creates usual times without any samples.
 *
 * A route may take seconds by nature, and another one a few ms. If the time of the first were taken for lateness of its
 * servers, requests of the second would be refused there although nobody waits. The median is used, so that a minority of
 * slow servers does not move it.
 */
export function createUsualTimes(): UsualTimes {
  const samplesOf = new LRUCache<string, readonly number[]>({ max: MAX_KINDS });
  return {
    usualMs(kind) {
      const samples = samplesOf.get(kind) ?? [];
      return samples.length < MIN_SAMPLES ? undefined : median(samples);
    },
    record(kind, ownMs) {
      const samples = samplesOf.get(kind) ?? [];
      samplesOf.set(kind, [...samples, Math.max(0, ownMs)].slice(-MAX_SAMPLES));
    },
  };
}
