import type { MemberState } from '../membership';
import { weightedScore } from '../rendezvous';
import { entryWeights } from './entry-weights';

/** Which instance a caller should use. */
export interface EntryChoice {
  readonly entry: MemberState;
  /** Others to try in order, in other failure domains where there are any. */
  readonly fallbacks: readonly MemberState[];
}

/** What an entry is chosen from. */
export interface EntryQuestion {
  readonly members: readonly MemberState[];
  /** Regions in which the caller's data may be. */
  readonly regions: readonly string[];
  readonly homeRegion: string;
  /** What stays together: the same key gets the same instance for as long as it may. */
  readonly key: string;
}

const FALLBACKS = 2;

interface Scored {
  readonly member: MemberState;
  readonly score: number;
}

function byScore(left: Scored, right: Scored): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.member.instanceId < right.member.instanceId ? -1 : 1;
}

function ranked(candidates: readonly MemberState[], key: string): readonly MemberState[] {
  const weights = entryWeights(candidates);
  return candidates
    .map((member) => ({
      member,
      score: weightedScore(key, member.instanceId, weights.get(member.instanceId) ?? 1),
    }))
    .sort(byScore)
    .map(({ member }) => member);
}

/** Live instances, or those that are only suspected where no other is left: they may well answer. */
function candidatesOf(members: readonly MemberState[]): readonly MemberState[] {
  const alive = members.filter((member) => member.status === 'alive');
  return alive.length > 0 ? alive : members.filter((member) => member.status === 'suspect');
}

/**
 * Chooses among the live instances of the allowed regions, those of the home region before all others;
 * undefined when there is none.
 *
 * Answers steady load from callers that ask at any instance, and the loss of a failure domain. To name the
 * least loaded instance sends every caller that asks between two exchanges of load to the same one, and moves
 * all of them again with the next. Rendezvous hashing spreads callers without memory, any instance gives the
 * same answer, a caller keeps its instance (and with it the prefixes that the instance knows to be cached),
 * and when instances go their callers scatter over all that are left instead of falling on one.
 */
export function chooseEntry(question: EntryQuestion): EntryChoice | undefined {
  const { members, regions, homeRegion, key } = question;
  const allowed = candidatesOf(members.filter((member) => regions.includes(member.region)));
  const atHome = ranked(
    allowed.filter((member) => member.region === homeRegion),
    key,
  );
  const away = ranked(
    allowed.filter((member) => member.region !== homeRegion),
    key,
  );
  const [entry, ...others] = [...atHome, ...away];
  if (entry === undefined) return undefined;
  const isInSameDomain = (other: MemberState) =>
    other.region === entry.region && other.failureDomain === entry.failureDomain;
  const elsewhere = others.filter((other) => !isInSameDomain(other));
  const sameDomain = others.filter(isInSameDomain);
  return { entry, fallbacks: [...elsewhere, ...sameDomain].slice(0, FALLBACKS) };
}
