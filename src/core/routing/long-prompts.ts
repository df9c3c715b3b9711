import type { WorkEstimate } from '../work';

/**
 * Keeps long prompts to a part of the engines (size-interval task assignment).
 *
 * It answers long work among short. An engine computes a prompt in chunks beside the tokens of all others in its
 * batch, so that one long prompt makes every step many times as long: a chat answer of 60 tokens that takes
 * 2 s then takes 10 s. Spread evenly, a tenth of long requests does so on each engine, and no
 * order of waiting helps those already in a batch. So the engines are divided by size of work: the part for
 * long prompts is as large as their share of the work, and each instance finds the same part, since servers are
 * ordered by hash and the share is about the same everywhere. Either part takes the other's work at a higher cost.
 */
export interface LongPrompts {
  /** Notes the work of a request that was placed. */
  note(work: WorkEstimate): void;
  isLong(work: WorkEstimate): boolean;
  /** Whether a server at this place of the common order is for this work. */
  isFor(place: number, work: WorkEstimate): boolean;
}

/** Prompt tokens from which a prompt takes an engine several steps: twice the usual chunk. */
export const LONG_PROMPT_TOKENS = 4_096;

/** Weight of the latest request in the share: some hundreds decide, so that engines don't change part often. */
const SHARE_WEIGHT = 0.005;

/** Shares below and above which one part would be too small to matter: no division then. */
const LEAST_SHARE = 0.02;
const GREATEST_SHARE = 0.9;

/** Nothing is divided before long prompts were seen. */
export function createLongPrompts(): LongPrompts {
  let longUnits = 0;
  let allUnits = 0;

  const isLong = ({ promptTokens }: WorkEstimate) => promptTokens >= LONG_PROMPT_TOKENS;
  const share = () => (allUnits === 0 ? 0 : longUnits / allUnits);

  return {
    isLong,
    note(work) {
      longUnits += SHARE_WEIGHT * ((isLong(work) ? work.units : 0) - longUnits);
      allUnits += SHARE_WEIGHT * (work.units - allUnits);
    },
    isFor(place, work) {
      const longShare = share();
      if (longShare < LEAST_SHARE || longShare > GREATEST_SHARE) return true;
      return place < longShare === isLong(work);
    },
  };
}
