import type { MemberState } from '../membership';
import { weightedScore } from '../rendezvous';
import { entryWeights } from './entry-weights';

/** The instance that a caller should use, with fallbacks. */
export interface EntryChoice {
  readonly entry: MemberState;
  /** Other instances to try, in order; those in other failure domains come first. */
  readonly fallbacks: readonly MemberState[];
}

/** Input of `chooseEntry`. */
export interface EntryInput {
  readonly members: readonly MemberState[];
  /** Regions that may hold the caller's data. */
  readonly regions: readonly string[];
  readonly homeRegion: string;
  /** Affinity key: the same key gets the same instance for as long as possible. */
  readonly key: string;
}

const MAX_FALLBACKS = 2;

interface ScoredMember {
  readonly member: MemberState;
  readonly score: number;
}

function byScore(left: ScoredMember, right: ScoredMember): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.member.instanceId < right.member.instanceId ? -1 : 1;
}

function rankByScore(candidates: readonly MemberState[], key: string): readonly MemberState[] {
  const weights = entryWeights(candidates);
  return candidates
    .map((member) => ({
      member,
      score: weightedScore(key, member.instanceId, weights.get(member.instanceId) ?? 1),
    }))
    .sort(byScore)
    .map(({ member }) => member);
}

/** Returns the live instances; if there are none, the suspected ones, which may still answer. */
function candidatesOf(members: readonly MemberState[]): readonly MemberState[] {
  const alive = members.filter((member) => member.status === 'alive');
  return alive.length > 0 ? alive : members.filter((member) => member.status === 'suspect');
}

/**
 * Chooses an instance among the live ones of the allowed regions, preferring the home region; returns
 * undefined if there is none.
 *
 * Spreads callers evenly under steady load and after the loss of a failure domain. If the least loaded
 * instance were returned instead, every caller that asks between two exchanges of load data would get the same
 * one, and all of them would move with the next exchange. Rendezvous hashing needs no state, and every
 * instance returns the same result. A caller keeps its instance, and with it the prefixes that the instance
 * knows to be cached. When instances fail, their callers are spread over all remaining ones instead of one.
 */
export function chooseEntry(question: EntryInput): EntryChoice | undefined {
  const { members, regions, homeRegion, key } = question;
  const allowed = candidatesOf(members.filter((member) => regions.includes(member.region)));
  const atHome = rankByScore(
    allowed.filter((member) => member.region === homeRegion),
    key,
  );
  const remote = rankByScore(
    allowed.filter((member) => member.region !== homeRegion),
    key,
  );
  const [entry, ...others] = [...atHome, ...remote];
  if (entry === undefined) return undefined;
  const isInSameDomain = (other: MemberState) =>
    other.region === entry.region && other.failureDomain === entry.failureDomain;
  const elsewhere = others.filter((other) => !isInSameDomain(other));
  const sameDomain = others.filter(isInSameDomain);
  return { entry, fallbacks: [...elsewhere, ...sameDomain].slice(0, MAX_FALLBACKS) };
}
