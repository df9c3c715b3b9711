/**
 * Rendezvous hashing (highest random weight): instances that know the same candidates choose the same ones
 * without talking, and when a candidate goes only what it had been chosen for moves.
 */

/** A number from 0 up to, but not including, 1 that depends on both names alone; the same on every machine. */
export function hashPair(key: string, candidate: string): number {
  /* eslint-disable no-bitwise -- FNV-1a and its final mix are defined on 32-bit words */
  let hash = 0x811c9dc5;
  const text = `${key}\n${candidate}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / 2 ** 32;
  /* eslint-enable no-bitwise */
}

/** The order of `candidates` for `key`; the first is the one chosen, the next its stand-in. */
export function rankFor(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({ candidate, score: hashPair(key, candidate) }))
    .sort((left, right) =>
      left.score !== right.score
        ? right.score - left.score
        : Number(left.candidate > right.candidate) - Number(left.candidate < right.candidate),
    )
    .map(({ candidate }) => candidate);
}

/**
 * Score of a candidate with a weight: over many keys each candidate comes first in proportion to its weight,
 * and a change of one weight moves keys only to or from that candidate.
 */
export function weightedScore(key: string, candidate: string, weight: number): number {
  if (weight <= 0) return 0;
  // Shifted off zero, whose logarithm is not a number that can be compared.
  const draw = (hashPair(key, candidate) * 2 ** 32 + 1) / (2 ** 32 + 1);
  return -weight / Math.log(draw);
}
