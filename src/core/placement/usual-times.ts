import { LRUCache } from 'lru-cache';

/** Time to the first byte that kinds of requests take by nature, without waits, as measured by this instance. */
export interface UsualTimes {
  /** Returns the usual time of a kind, ms; undefined until a few requests of it have been answered. */
  usualMs(kind: string): number | undefined;
  /** Records the time of one request without its predicted wait, ms. */
  record(kind: string, ownMs: number, nowMs: number): void;
}

/** Number of samples that are kept of a kind; an odd number, so that the median is one of them. */
const MAX_SAMPLES = 9;
/** Number of samples from which on the usual time of a kind counts as known. */
const MIN_SAMPLES = 3;
/** Factor by which the median exceeds the usual time if all servers are slow, or the kind has become another one. */
const RISE_FACTOR = 1.5;
/** Rise that is left aside, ms: a few steps of a batch. */
const MIN_RISE_MS = 50;
/** Time after which a higher median is taken for the nature of the kind, ms: servers are slow for less. */
const RISE_AFTER_MS = 30_000;
/** Number of kinds that are kept; those that were seen last. */
const MAX_KINDS = 2_000;

function median(samples: readonly number[]): number {
  const sorted = [...samples].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

interface KindTimes {
  readonly samples: readonly number[];
  readonly usualMs: number;
  /** Since when the median has been far above the usual time, monotonic ms; undefined while it is not. */
  readonly risingSinceMs: number | undefined;
}

function withSample(known: KindTimes | undefined, ownMs: number, nowMs: number): KindTimes {
  const samples = [...(known?.samples ?? []), Math.max(0, ownMs)].slice(-MAX_SAMPLES);
  const medianMs = median(samples);
  const hasRisen =
    known !== undefined &&
    known.samples.length >= MIN_SAMPLES &&
    medianMs > known.usualMs * RISE_FACTOR + MIN_RISE_MS;
  if (!hasRisen) return { samples, usualMs: medianMs, risingSinceMs: undefined };
  const risingSinceMs = known.risingSinceMs ?? nowMs;
  const isNature = nowMs - risingSinceMs >= RISE_AFTER_MS;
  return isNature
    ? { samples, usualMs: medianMs, risingSinceMs: undefined }
    : { samples, usualMs: known.usualMs, risingSinceMs };
}

/**
 * Creates usual times without any samples.
 *
 * A route may take seconds by nature, and another one a few ms. If the time of the first were taken for lateness of its
 * servers, requests of the second would be refused there although nobody waits. The median is used, so that a minority of
 * slow servers does not move it, and it rises late, so that all servers being slow for a while still counts as lateness.
 */
export function createUsualTimes(): UsualTimes {
  const timesOf = new LRUCache<string, KindTimes>({ max: MAX_KINDS });
  return {
    usualMs(kind) {
      const times = timesOf.get(kind);
      return times === undefined || times.samples.length < MIN_SAMPLES ? undefined : times.usualMs;
    },
    record(kind, ownMs, nowMs) {
      timesOf.set(kind, withSample(timesOf.get(kind), ownMs, nowMs));
    },
  };
}
