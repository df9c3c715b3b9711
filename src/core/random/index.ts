/** Chance as the rest of the code sees it, so that a run can be had again from its seed. */

/** Draws numbers from 0 up to, but not including, 1. */
export interface RandomSource {
  next(): number;
}

/** A repeatable source (mulberry32); the same seed gives the same draws on every machine. */
export function createSeededRandom(seed: number): RandomSource {
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words */
  let state = seed >>> 0;
  return {
    next() {
      state = (state + 0x6d2b79f5) >>> 0;
      let mixed = state;
      mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
      mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
      return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    },
  };
  /* eslint-enable no-bitwise */
}

/** An index from 0 up to, but not including, `count`. */
export function pickIndex(random: RandomSource, count: number): number {
  return Math.floor(random.next() * count);
}
