import { hashText } from '../hashing';

/**
 * Whom an instance exchanges with. With everyone, an instance's bytes and processor time would grow with the
 * fleet; with partners drawn at random, some draws leave an instance that nobody watches, and one whose death
 * nobody notices keeps being given work. Here all instances stand on rings ordered by a hash of their names,
 * and each takes its next ones: so many watch each, whatever the size.
 *
 * The graph hangs together whenever views agree: the ring of a failure domain joins its members; along the
 * ring of a region each run of one domain is joined to the next run; along the ring of the fleet likewise the
 * regions. `next in another domain` is a ring edge for the last of each run, which is all it takes.
 */

/** What the choice looks at. */
export interface RingMember {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Partners next on the ring of the own failure domain: two, so that one crash leaves the ring joined. */
export const DOMAIN_PARTNERS = 2;
/** Partners in other failure domains of the region. */
export const REGION_PARTNERS = 1;
/** Partners in other regions. */
export const FLEET_PARTNERS = 1;

interface Placed<Member> {
  readonly member: Member;
  readonly place: number;
}

/** All members in ring order from the one after `self`, without it. */
function ringAfter<Member extends RingMember>(self: RingMember, members: readonly Member[]) {
  const selfPlace = hashText(self.instanceId);
  const placed: Placed<Member>[] = members
    .filter((member) => member.instanceId !== self.instanceId)
    .map((member) => ({ member, place: hashText(member.instanceId) }));
  const isAhead = ({ place, member }: Placed<Member>) =>
    place > selfPlace || (place === selfPlace && member.instanceId > self.instanceId);
  const inOrder = (left: Placed<Member>, right: Placed<Member>) => {
    if (left.place !== right.place) return left.place - right.place;
    return left.member.instanceId < right.member.instanceId ? -1 : 1;
  };
  const ahead = placed.filter(isAhead).sort(inOrder);
  const behind = placed.filter((entry) => !isAhead(entry)).sort(inOrder);
  return [...ahead, ...behind].map((entry) => entry.member);
}

/** The partners of `self` among `members`, which are those not held for dead. */
export function choosePartners<Member extends RingMember>(
  self: RingMember,
  members: readonly Member[],
): readonly Member[] {
  const ring = ringAfter(self, members);
  const ownRegion = ring.filter((member) => member.region === self.region);
  const ownDomain = ownRegion.filter((member) => member.failureDomain === self.failureDomain);
  const otherDomains = ownRegion.filter((member) => member.failureDomain !== self.failureDomain);
  const otherRegions = ring.filter((member) => member.region !== self.region);
  return [
    ...ownDomain.slice(0, DOMAIN_PARTNERS),
    ...otherDomains.slice(0, REGION_PARTNERS),
    ...otherRegions.slice(0, FLEET_PARTNERS),
  ];
}
