import type { RandomSource } from '../core/random';

/** The machine's own chance. */
export function createSystemRandom(): RandomSource {
  return { next: () => Math.random() };
}
