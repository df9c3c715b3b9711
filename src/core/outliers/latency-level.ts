/**
 * How long a server takes per unit of work, on a logarithmic scale: a moving geometric mean. Times of model
 * answers spread over two orders of magnitude, so that in a plain mean one long floor plan among short
 * questions would make a good server look slow.
 */
export interface LatencyLevel {
  /** Natural logarithm of ms per unit of work. */
  readonly level: number;
  readonly samples: number;
}

/** Weight of a new sample; about the last ten count. */
const NEW_SAMPLE_WEIGHT = 0.2;
/** Shorter times than this are not told apart, ms. */
const SHORTEST_MS = 0.1;

/** The level before any sample. */
export const NO_LEVEL: LatencyLevel = { level: 0, samples: 0 };

/** The value of one sample on the scale. */
export function toLevel(durationMs: number, workUnits: number): number {
  return Math.log(Math.max(SHORTEST_MS, durationMs) / Math.max(1, workUnits));
}

/** Takes one sample in; the first few are averaged evenly. */
export function addSample({ level, samples }: LatencyLevel, sample: number): LatencyLevel {
  const weight = Math.max(NEW_SAMPLE_WEIGHT, 1 / (samples + 1));
  return { level: level + weight * (sample - level), samples: samples + 1 };
}

/**
 * Takes in a time that is not over yet, if it has reached the level already. A server that has become ten times
 * slower brings no samples for a while; its open tries tell of it before they end.
 */
export function addLowerBound(known: LatencyLevel, sample: number): LatencyLevel {
  return sample >= known.level ? addSample(known, sample) : known;
}

/** The middle of some levels; undefined for none. */
export function medianLevel(levels: readonly LatencyLevel[]): number | undefined {
  const sorted = levels.map(({ level }) => level).sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
