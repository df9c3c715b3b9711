/**
 * Rendezvous hashing (highest random weight). Instances that know the same candidates choose the same ones without
 * communicating, and when a candidate is removed, only the keys assigned to it move.
 */

/** Returns a number in [0, 1) that depends only on the two strings and is the same on every machine. */
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

/** Returns `candidates` ranked for `key`; the first is the chosen one, the next its fallback. */
export function rankCandidates(key: string, candidates: readonly string[]): readonly string[] {
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
 * Returns the score of a weighted candidate for `key`; the highest score wins. Over many keys each candidate wins in
 * proportion to its weight, and changing one weight moves keys only to or from that candidate.
 */
export function weightedScore(key: string, candidate: string, weight: number): number {
  if (weight <= 0) return 0;
  // Shifted away from 0, whose logarithm is -Infinity: a candidate with that draw would score 0 whatever its weight.
  const draw = (hashPair(key, candidate) * 2 ** 32 + 1) / (2 ** 32 + 1);
  return -weight / Math.log(draw);
}
