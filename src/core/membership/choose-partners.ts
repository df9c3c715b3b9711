import { hashText } from '../hashing';

/**
 * Choice of the partners with which an instance exchanges messages.
 *
 * Exchanging with every instance would make traffic and CPU time grow with the fleet. Partners drawn at random can
 * leave an instance that no other one watches; if it dies, it keeps receiving work, since its death is not detected.
 * Instead, all instances are placed on rings ordered by a hash of their ids, and each one takes its successors as
 * partners. The number of instances that watch another one therefore does not depend on the size of the fleet.
 *
 * The graph of partners is connected whenever views agree. The ring of a failure domain connects its members. On the
 * ring of a region, each run of instances of one failure domain is connected to the next run, and on the ring of the
 * fleet the regions are connected in the same way. It is enough that the last instance of each run has an edge to
 * its successor on the ring, which is its next instance in another failure domain.
 */

/** Properties of an instance on which the choice of partners depends. */
export interface RingMember {
  readonly instanceId: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** Number of successors on the ring of the own failure domain; two, so that the ring stays connected after a crash. */
export const DOMAIN_PARTNERS = 2;
/** Number of partners in other failure domains of the region. */
export const REGION_PARTNERS = 1;
/** Number of partners in other regions. */
export const FLEET_PARTNERS = 1;

interface PlacedMember<Member> {
  readonly member: Member;
  readonly position: number;
}

/** Returns all members in ring order, starting after `self` and without it. */
function ringAfter<Member extends RingMember>(self: RingMember, members: readonly Member[]) {
  const selfPosition = hashText(self.instanceId);
  const placedMembers: PlacedMember<Member>[] = members
    .filter((member) => member.instanceId !== self.instanceId)
    .map((member) => ({ member, position: hashText(member.instanceId) }));
  const isAhead = ({ position, member }: PlacedMember<Member>) =>
    position > selfPosition || (position === selfPosition && member.instanceId > self.instanceId);
  const byPosition = (left: PlacedMember<Member>, right: PlacedMember<Member>) => {
    if (left.position !== right.position) return left.position - right.position;
    return left.member.instanceId < right.member.instanceId ? -1 : 1;
  };
  const ahead = placedMembers.filter(isAhead).sort(byPosition);
  const behind = placedMembers.filter((entry) => !isAhead(entry)).sort(byPosition);
  return [...ahead, ...behind].map((entry) => entry.member);
}

/** Returns the partners of `self` among `members`, which must exclude dead instances. */
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
