import { hashText } from '../hashing';

/**
 * Which instances watch the configuration service. It bears some two thousand reads a second across all
 * readers and a waiting watch is one; with every instance watching, each of 16,000 changes a day would be read
 * by all 340 at the same moment, and its rates grow more slowly than the fleet. So a few of each failure domain
 * watch, by an order that all work out alike from their views, and the others learn from them. Without a
 * stand-in, a domain whose watchers hang would learn late and over other domains only.
 */

/** What the choice looks at: the live members of one failure domain, the asking instance included. */
export interface WatchCandidate {
  readonly instanceId: string;
  /** Whether it reads the service with success, as it says itself. */
  readonly watching: boolean;
}

/** Watchers of a failure domain: two, so that one that goes leaves one while the next steps in. */
export const WATCHERS_PER_DOMAIN = 2;

/**
 * Time that those next in order wait for each place they are behind, before they step in for a watcher that is
 * silent. News of a watcher's success takes a few exchanges to come round.
 */
export const STEP_IN_AFTER_MS = 10_000;

/** How far behind the watchers an instance stands, and how many before it watch. */
export interface WatchRank {
  /** 0 for those that are to watch, 1 for the first stand-in, and so on. */
  readonly placesBehind: number;
  readonly watchersBefore: number;
}

/** Where an instance stands in the order of its failure domain. */
export function watchRank(
  ownId: string,
  failureDomain: string,
  candidates: readonly WatchCandidate[],
): WatchRank {
  const rankOf = (instanceId: string) => hashText(`${failureDomain}\n${instanceId}`);
  const ownRank = rankOf(ownId);
  const before = candidates.filter((candidate) => {
    const rank = rankOf(candidate.instanceId);
    return rank < ownRank || (rank === ownRank && candidate.instanceId < ownId);
  });
  return {
    placesBehind: Math.max(0, before.length + 1 - WATCHERS_PER_DOMAIN),
    watchersBefore: before.filter((candidate) => candidate.watching).length,
  };
}

/** Whether to watch now; `shortSinceMs` is since when too few before this instance watch, undefined if enough do. */
export function shouldWatch(
  rank: WatchRank,
  shortSinceMs: number | undefined,
  nowMs: number,
): boolean {
  if (rank.placesBehind === 0) return true;
  if (shortSinceMs === undefined) return false;
  return nowMs - shortSinceMs >= rank.placesBehind * STEP_IN_AFTER_MS;
}
