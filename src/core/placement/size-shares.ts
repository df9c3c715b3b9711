/** Sees to it that long prompts are let in about as often as short ones. */
export interface SizeShares {
  /** Notes a request of a kind that is decided on for the first time. */
  noteAsked(kind: string, tokens: number): void;
  /** Notes whether it was let in. */
  noteDecided(kind: string, tokens: number, wasLetIn: boolean): void;
  /** Takes back that one was let in: it has come back from where it was sent. */
  noteReturned(kind: string, tokens: number): void;
  /** Whether requests of this size have been let in so much less than others that one more is due. */
  isDue(kind: string, tokens: number): boolean;
}

/**
 * Least rate at which each size is let in, as a part of the rate of all requests of the kind. Operators hold the largest
 * to half of what the whole is served at; a part of those let in is lost on the way, most of the largest, which take
 * longest.
 */
const LEAST_PART = 0.75;
/** Ranks of size above which prompts are classes of their own, as parts of all: the largest tenth, the fifth below. */
const CLASS_RANKS = [0.7, 0.9] as const;
/** Step by which an estimated rank moves with one prompt, in parts of its size; some fifty prompts settle it. */
const RANK_STEP = 0.05;
/** Weight of the newest decision in the rate of all; some thirty decide. */
const NEWEST_WEIGHT = 0.03;
/** Bounds of what a class is owed, in requests: what was long ago is made good in part only, and not all at once. */
const MOST_OWED = 2;
const LEAST_OWED = -2;

interface KindShares {
  /** Sizes at the ranks, prompt tokens. */
  readonly sizes: number[];
  /** Rate at which requests of all sizes are let in. */
  rate: number;
  /** Requests that each class is owed. */
  readonly owed: number[];
}

/** Moves an estimate of a rank by one sample: up by `rank` parts of a step, down by the rest. */
function movedTo(size: number, tokens: number, rank: number): number {
  return tokens > size ? size * (1 + RANK_STEP * rank) : size * (1 - RANK_STEP * (1 - rank));
}

/**
 * Shares of which nothing is known yet.
 *
 * Answers prompts of very different sizes at servers with little room. A request is refused where its first byte is
 * predicted late, and the longest prompt is the first of which that is predicted, whatever its turn. So the largest are
 * refused each time they come back and are never served, while short ones are all day; one notices a share of refusals
 * that grows with the prompt (0.02 below 6,000 tokens, 0.82 above 16,000). To count only part of a prompt's own reading
 * lets in more of all that is long, and all of it is late then (0.3 to 0.26 on a heavy day). So each class of size is
 * owed a part of the rate at which the kind is let in, and where it is behind, its next prompt is let in late as it may be.
 */
export function createSizeShares(): SizeShares {
  const kinds = new Map<string, KindShares>();

  const at = (kind: string, tokens: number): KindShares => {
    const known = kinds.get(kind);
    if (known !== undefined) return known;
    const fresh = { sizes: CLASS_RANKS.map(() => tokens), rate: 1, owed: [0, 0, 0] };
    kinds.set(kind, fresh);
    return fresh;
  };
  const classOf = ({ sizes }: KindShares, tokens: number): number =>
    sizes.filter((size) => tokens > size).length;
  const owe = (shares: KindShares, sizeClass: number, change: number): void => {
    const { owed } = shares;
    const sum = (owed[sizeClass] ?? 0) + change;
    owed[sizeClass] = Math.min(MOST_OWED, Math.max(LEAST_OWED, sum));
  };

  return {
    noteAsked(kind, tokens) {
      const shares = at(kind, tokens);
      owe(shares, classOf(shares, tokens), LEAST_PART * shares.rate);
      CLASS_RANKS.forEach((rank, index) => {
        shares.sizes[index] = movedTo(shares.sizes[index] ?? tokens, tokens, rank);
      });
    },
    noteDecided(kind, tokens, wasLetIn) {
      const shares = at(kind, tokens);
      shares.rate += ((wasLetIn ? 1 : 0) - shares.rate) * NEWEST_WEIGHT;
      if (wasLetIn) owe(shares, classOf(shares, tokens), -1);
    },
    noteReturned(kind, tokens) {
      const shares = at(kind, tokens);
      owe(shares, classOf(shares, tokens), 1);
    },
    isDue(kind, tokens) {
      const shares = at(kind, tokens);
      return (shares.owed[classOf(shares, tokens)] ?? 0) >= 1;
    },
  };
}
