import type { Refusals } from '../../src/core/server-notices';

/** Weight of the newest refusal in the moving average, and the half-life of the average, ms. */
const NEWEST_SAMPLE_WEIGHT = 0.3;
const HALF_LIFE_MS = 3_000;
/** Share of refusals above which a server is avoided. */
const MAX_REFUSAL_SHARE = 0.2;

interface Rating {
  share: number;
  atMs: number;
  minTokens: number;
}

/** Creates the alternative to pauses that grow: the share of refusals, which decays, counts in the rating. */
export function createRatedRefusals(): Refusals {
  const ratings = new Map<string, Rating>();
  const decayed = (id: string, nowMs: number): Rating | undefined => {
    const rating = ratings.get(id);
    if (rating === undefined) return undefined;
    rating.share *= 0.5 ** ((nowMs - rating.atMs) / HALF_LIFE_MS);
    rating.atMs = nowMs;
    return rating;
  };
  return {
    recordRefusal(id, tokens, nowMs) {
      const rating = decayed(id, nowMs) ?? { share: 0, atMs: nowMs, minTokens: tokens };
      rating.share += (1 - rating.share) * NEWEST_SAMPLE_WEIGHT;
      rating.minTokens = Math.min(rating.minTokens, tokens);
      ratings.set(id, rating);
    },
    recordAcceptance(id, tokens, nowMs) {
      const rating = decayed(id, nowMs);
      if (rating === undefined || tokens < rating.minTokens) return;
      rating.share *= 1 - NEWEST_SAMPLE_WEIGHT;
    },
    standing(id, tokens, nowMs) {
      const rating = decayed(id, nowMs);
      const share = rating === undefined || tokens < rating.minTokens ? 0 : rating.share;
      return { share, isAvoided: share > MAX_REFUSAL_SHARE, isUnproven: false };
    },
    keepOnly(ids) {
      for (const id of ratings.keys()) if (!ids.has(id)) ratings.delete(id);
    },
  };
}

/** Creates the state before: refusals are not recorded. */
export function createIgnoredRefusals(): Refusals {
  return {
    recordRefusal() {},
    recordAcceptance() {},
    standing: () => ({ share: 0, isAvoided: false, isUnproven: false }),
    keepOnly() {},
  };
}
