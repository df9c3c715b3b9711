import type { WorkEstimate } from '../work';

/**
 * Keeps long prompts to a part of the engines (size-interval task assignment).
 *
 * It answers long work among short. An engine computes a prompt in chunks beside the tokens of all others in its
 * batch, so that one long prompt makes every step many times as long: a chat answer of 60 tokens that takes
 * 2 s then takes 10 s. Spread evenly, a tenth of long requests does so on each engine, and no
 * order of waiting helps those already in a batch. So the engines are divided by size of work: the part for
 * long prompts is as large as their share of the work, rounded up since they also fill the engines' memory, and each instance finds the same part, since servers are
 * ordered by hash and the share is about the same everywhere. Either part takes the other's work at a higher cost.
 */
export interface LongPrompts {
  /** Tells how many servers there are. */
  setServers(count: number): void;
  /** Notes the work of a request that was placed. */
  note(work: WorkEstimate): void;
  isLong(work: WorkEstimate): boolean;
  /** Whether a server at this place of the common order is for this work. */
  isFor(place: number, work: WorkEstimate): boolean;
  /**
   * Whether the server stands next to the line between the parts. Instances' estimates differ a little, so it may
   * be on the other side of the line for some of them.
   */
  isNearLine(place: number): boolean;
}

/** Prompt tokens from which a prompt takes an engine several steps: twice the usual chunk. */
export const LONG_PROMPT_TOKENS = 4_096;

/** Weight of the latest request in the share: long ones are rare, so it takes several hundred to know it. */
const SHARE_WEIGHT = 0.002;

/** Shares below and above which one part would be too small to matter: no division then. */
const LEAST_SHARE = 0.02;
const GREATEST_SHARE = 0.9;

/** Servers on either side of the line that count as near it. */
const NEAR_LINE_SERVERS = 1;

/** Requests before which nothing is divided: one long prompt among the first would look like half of the work. */
const LEAST_NOTED = 50;

/** Servers by which the division has to be off before it changes, so that it does not flutter. */
const CLEARLY_OFF = 0.75;

/** Nothing is divided before long prompts were seen. */
export function createLongPrompts(): LongPrompts {
  let longUnits = 0;
  let allUnits = 0;
  let noted = 0;
  let servers = 0;
  let longServers = 0;

  const isLong = ({ promptTokens }: WorkEstimate) => promptTokens >= LONG_PROMPT_TOKENS;

  /** Divides anew once the share is clearly nearer to another number of servers; rounds up, for the sake of memory. */
  const divide = () => {
    if (noted < LEAST_NOTED) return;
    const share = allUnits === 0 ? 0 : longUnits / allUnits;
    if (Math.abs(share * servers - (longServers - 0.5)) < CLEARLY_OFF) return;
    const isWorthwhile = share > LEAST_SHARE && share < GREATEST_SHARE;
    const wanted = Math.min(servers - 1, Math.max(1, Math.ceil(share * servers)));
    longServers = isWorthwhile && servers > 1 ? wanted : 0;
  };

  return {
    isLong,
    setServers(count) {
      servers = count;
      longServers = 0;
      divide();
    },
    note(work) {
      noted += 1;
      longUnits += SHARE_WEIGHT * ((isLong(work) ? work.units : 0) - longUnits);
      allUnits += SHARE_WEIGHT * (work.units - allUnits);
      divide();
    },
    isNearLine: (place) =>
      longServers > 0 && Math.abs(place * servers + 0.5 - longServers) < NEAR_LINE_SERVERS,
    isFor(place, work) {
      if (longServers === 0 || longServers === servers) return true;
      return place * servers < longServers === isLong(work);
    },
  };
}
