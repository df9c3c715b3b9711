/** What the recent refusals of a server mean for a request. */
export interface RefusalStanding {
  /** Share of refusals by which the server is rated lower than others; usually from 0 to 1. */
  readonly share: number;
  /** Whether the server should get a request only if no other server can take it. */
  readonly isAvoided: boolean;
  /** Whether a refusal of the server is likely enough to send it only requests that can then be sent elsewhere. */
  readonly isUnproven: boolean;
}

/** Refusals of backend servers that state no time for which they hold. */
export interface Refusals {
  /** Records that a server has refused a request with a prompt of `tokens`. */
  recordRefusal(incarnationId: string, tokens: number, nowMs: number): void;
  /** Records that a server has taken a request with a prompt of `tokens`. */
  recordAcceptance(incarnationId: string, tokens: number, nowMs: number): void;
  /** Returns the standing of a server for a request with a prompt of `tokens`. */
  standing(incarnationId: string, tokens: number, nowMs: number): RefusalStanding;
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Weight of the newest request in the moving average of refusals. A single refusal exceeds `MAX_REFUSAL_SHARE`. */
const NEWEST_SAMPLE_WEIGHT = 0.3;
/** Share of refusals above which a server is avoided. */
const MAX_REFUSAL_SHARE = 0.2;
/** Half-life of the share, ms, so that the server gets a request now and then. */
const HALF_LIFE_MS = 3_000;
/** Time after a refusal in which only an answer shows that a server takes requests again, ms. */
const UNPROVEN_MS = 10_000;
/** Share below which refusals are forgotten, once the server has taken a request again. */
const NEGLIGIBLE_SHARE = 0.01;

const NO_REFUSALS: RefusalStanding = { share: 0, isAvoided: false, isUnproven: false };

interface Rating {
  /** Share of refusals at `atMs`. */
  readonly share: number;
  readonly atMs: number;
  /** Smallest prompt that was refused; a server may have room for smaller ones. */
  readonly minTokens: number;
  /** Time of the latest refusal if the server has taken no such request since, monotonic ms. */
  readonly refusedAtMs: number | undefined;
}

function shareAt({ share, atMs }: Rating, nowMs: number): number {
  return share * 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

/**
 * Creates an empty record.
 *
 * A server that refuses at once looks the least loaded, so it would get most of the requests, the retries would spend
 * their budget, and callers would be refused beside idle servers. So the share of refusals counts in its rating. It is
 * never excluded: a server that is full refuses as well, and if all have refused, one of them is the best choice all
 * the same.
 */
export function createRefusals(): Refusals {
  const ratings = new Map<string, Rating>();
  return {
    recordRefusal(incarnationId, tokens, nowMs) {
      const before = ratings.get(incarnationId);
      const share = before === undefined ? 0 : shareAt(before, nowMs);
      ratings.set(incarnationId, {
        share: share + (1 - share) * NEWEST_SAMPLE_WEIGHT,
        atMs: nowMs,
        minTokens: Math.min(tokens, before?.minTokens ?? tokens),
        refusedAtMs: nowMs,
      });
    },
    recordAcceptance(incarnationId, tokens, nowMs) {
      const before = ratings.get(incarnationId);
      if (before === undefined || tokens < before.minTokens) return;
      const share = shareAt(before, nowMs) * (1 - NEWEST_SAMPLE_WEIGHT);
      if (share < NEGLIGIBLE_SHARE) ratings.delete(incarnationId);
      else ratings.set(incarnationId, { ...before, share, atMs: nowMs, refusedAtMs: undefined });
    },
    standing(incarnationId, tokens, nowMs) {
      const rating = ratings.get(incarnationId);
      if (rating === undefined || tokens < rating.minTokens) return NO_REFUSALS;
      const share = shareAt(rating, nowMs);
      const isUnproven =
        rating.refusedAtMs !== undefined && nowMs - rating.refusedAtMs < UNPROVEN_MS;
      return { share, isAvoided: share > MAX_REFUSAL_SHARE, isUnproven };
    },
    keepOnly(incarnationIds) {
      for (const id of ratings.keys()) if (!incarnationIds.has(id)) ratings.delete(id);
    },
  };
}
