/**
 * Time that a server takes per unit of work, as a moving geometric mean on a logarithmic scale. Response times
 * of models vary by two orders of magnitude, so that with an arithmetic mean one long floor plan among short
 * questions would make a good server appear slow.
 */
export interface LatencyLevel {
  /** Natural logarithm of ms per unit of work. */
  readonly level: number;
  readonly samples: number;
}

/** Weight of a new sample; the mean reflects about the last ten samples. */
const NEW_SAMPLE_WEIGHT = 0.2;
/** Minimum duration, ms; shorter ones count as this. */
const MIN_DURATION_MS = 0.1;

/** Level without any samples. */
export const NO_LEVEL: LatencyLevel = { level: 0, samples: 0 };

/** Converts a duration to the logarithmic scale. */
export function toLevel(durationMs: number, workUnits: number): number {
  return Math.log(Math.max(MIN_DURATION_MS, durationMs) / Math.max(1, workUnits));
}

/** Adds one sample; the first few samples are averaged with equal weight. */
export function addSample({ level, samples }: LatencyLevel, sample: number): LatencyLevel {
  const weight = Math.max(NEW_SAMPLE_WEIGHT, 1 / (samples + 1));
  return { level: level + weight * (sample - level), samples: samples + 1 };
}

/**
 * Adds the duration so far of an unfinished attempt if it has already reached the level. A server that has
 * become ten times slower yields no samples for a while; its open attempts reveal this before they end.
 */
export function addLowerBound(known: LatencyLevel, sample: number): LatencyLevel {
  return sample >= known.level ? addSample(known, sample) : known;
}

/** Returns the median of the levels; undefined if there are none. */
export function medianLevel(levels: readonly LatencyLevel[]): number | undefined {
  const sorted = levels.map(({ level }) => level).sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
