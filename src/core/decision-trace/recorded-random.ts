import type { RandomSource } from '../random';

/** A random source that remembers what it gave. */
export interface RecordedRandom extends RandomSource {
  /** What was drawn since the last call. */
  takeDraws(): number[];
}

/** Passes `source` on and remembers each draw. */
export function recordDraws(source: RandomSource): RecordedRandom {
  let draws: number[] = [];
  return {
    next() {
      const drawn = source.next();
      draws.push(drawn);
      return drawn;
    },
    takeDraws() {
      const taken = draws;
      draws = [];
      return taken;
    },
  };
}

/** A source that gives recorded draws again, to be loaded before each decision. */
export interface ReplayedRandom extends RandomSource {
  load(draws: readonly number[]): void;
}

/** A source without draws; to draw more than was recorded is a difference, and throws. */
export function replayDraws(): ReplayedRandom {
  let left: number[] = [];
  return {
    next() {
      const drawn = left.shift();
      if (drawn === undefined) throw new RangeError('The decision drew more than was recorded');
      return drawn;
    },
    load(draws) {
      left = [...draws];
    },
  };
}
