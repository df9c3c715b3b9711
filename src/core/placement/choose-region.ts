/** A region that a request may be served in, beside the one of this instance. */
export interface RegionOption {
  readonly region: string;
  /** Part of the slots of its usable servers that is taken, from 0 up. */
  readonly utilization: number;
}

/** What the choice between regions rests on. */
export interface RegionInput {
  /** Predicted time to the first byte here, ms; undefined where no server here may be used. */
  readonly localMs: number | undefined;
  /** Latency objective of the request, ms. */
  readonly objectiveMs: number;
  readonly others: readonly RegionOption[];
}

/** Where a request goes. */
export type RegionChoice =
  | { readonly kind: 'local' }
  | { readonly kind: 'remote'; readonly region: string }
  | { readonly kind: 'nowhere' };

/**
 * Regions that are fuller than this are not sent work from elsewhere: what is known of them is a second old,
 * and their own callers come first.
 */
const FULLEST_TO_SPILL_TO = 0.75;

/**
 * Part of the objective that a request may be predicted to wait here before another region is tried: with
 * less, small swings send requests over the long link; with more, the objective is missed before they go.
 */
const SPILL_AT_OBJECTIVE_SHARE = 0.6;

/** Fullest region that is used where none here can serve at all. */
const FULLEST_OF_NEED = 1.5;

function emptiest(options: readonly RegionOption[], below: number): RegionOption | undefined {
  return options
    .filter((option) => option.utilization < below)
    .sort((left, right) => left.utilization - right.utilization)[0];
}

/**
 * Chooses between this region and others.
 *
 * Answers peaks that pass from region to region: a small region cannot serve its own, while others idle.
 * Without this its callers wait or are refused next to free servers elsewhere. With too little patience the
 * requests of a mere burst cross the long link, read their prompts anew there, and take the slots of others.
 */
export function chooseRegion(input: RegionInput): RegionChoice {
  const { localMs, objectiveMs, others } = input;
  if (localMs === undefined) {
    const region = emptiest(others, FULLEST_OF_NEED)?.region;
    return region === undefined ? { kind: 'nowhere' } : { kind: 'remote', region };
  }
  if (localMs <= objectiveMs * SPILL_AT_OBJECTIVE_SHARE) return { kind: 'local' };
  const region = emptiest(others, FULLEST_TO_SPILL_TO)?.region;
  return region === undefined ? { kind: 'local' } : { kind: 'remote', region };
}
