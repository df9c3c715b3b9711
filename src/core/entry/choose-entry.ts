import type { MemberState } from '../membership';

/** Which instance a caller should use. */
export interface EntryChoice {
  readonly entry: MemberState;
  /** Others to try in order, in other failure domains where there are any. */
  readonly fallbacks: readonly MemberState[];
}

const FALLBACKS = 2;

function byNearness(homeRegion: string) {
  return (left: MemberState, right: MemberState): number => {
    const leftAway = left.region === homeRegion ? 0 : 1;
    const rightAway = right.region === homeRegion ? 0 : 1;
    if (leftAway !== rightAway) return leftAway - rightAway;
    if (left.inFlightRequests !== right.inFlightRequests) {
      return left.inFlightRequests - right.inFlightRequests;
    }
    return left.instanceId < right.instanceId ? -1 : 1;
  };
}

/** Chooses among the live instances of the allowed regions; undefined when there is none. */
export function chooseEntry(
  members: readonly MemberState[],
  regions: readonly string[],
  homeRegion: string,
): EntryChoice | undefined {
  const [entry, ...others] = members
    .filter((member) => member.status === 'alive' && regions.includes(member.region))
    .sort(byNearness(homeRegion));
  if (entry === undefined) return undefined;
  const elsewhere = others.filter((other) => other.failureDomain !== entry.failureDomain);
  const sameDomain = others.filter((other) => other.failureDomain === entry.failureDomain);
  return { entry, fallbacks: [...elsewhere, ...sameDomain].slice(0, FALLBACKS) };
}
