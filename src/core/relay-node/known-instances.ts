import type { MemberState, Membership } from '../membership';
import type { ForwardPeer } from '../pass-through';
import type { CounterPeer } from '../shared-budget';
import type { VersionHolder } from '../stream-versions';
import type { RelayInstance } from '../state-relay';

/** The known instances, filtered by the purposes for which this instance may use them. */
export interface KnownInstances {
  /** Other instances that can serve forwarded requests. */
  peers(): readonly ForwardPeer[];
  /** Other instances of this region that could watch the source of published state on behalf of this one. */
  potentialWatchers(): readonly RelayInstance[];
  /** Number of usable instances, including this one. */
  count(): number;
  /** Number of usable instances in this region, including this one. */
  countInRegion(): number;
  /** Ids of the instances in this region that may be alive, including this one and suspected ones. */
  possiblyAliveInRegion(): readonly string[];
  /** Other instances in this region that may be alive, including suspected ones, with their addresses for statements. */
  possiblyAlivePeers(): readonly CounterPeer[];
  /** Other instances of all regions that may be alive, including suspected ones, with their addresses for statements. */
  possiblyAliveAnywhere(): readonly VersionHolder[];
  /** Share of this region's instances that this one reaches, itself included; instances that have left do not count. */
  reachableShare(): number;
}

/** Options of {@link createKnownInstances}. */
export interface KnownInstancesOptions {
  readonly membership: Membership;
  readonly region: string;
  /** Port on which all instances accept forwarded requests. */
  readonly forwardingPort: () => number;
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Derives the known instances from the membership. */
export function createKnownInstances(options: KnownInstancesOptions): KnownInstances {
  const { membership, region, forwardingPort } = options;
  const forwardAddress = (member: MemberState) =>
    `${hostOf(member.peerAddress)}:${forwardingPort()}`;
  const toPeer = (member: MemberState): ForwardPeer => ({
    instanceId: member.instanceId,
    region: member.region,
    forwardAddress: forwardAddress(member),
    inFlightRequests: member.inFlightRequests,
    openRequestsByService: member.openRequestsByService,
  });
  const inRegion = () => membership.members().filter((member) => member.region === region);
  const mayBeAlive = ({ status }: MemberState) => status === 'alive' || status === 'suspect';
  const possiblyAliveOthers = (): readonly VersionHolder[] => {
    const { instanceId: ownId } = membership.self();
    return membership
      .members()
      .filter((member) => mayBeAlive(member) && member.instanceId !== ownId)
      .map((member) => ({
        instanceId: member.instanceId,
        region: member.region,
        failureDomain: member.failureDomain,
        address: forwardAddress(member),
        startedAtUnixMs: member.incarnation,
      }));
  };
  return {
    // An instance that has no routes yet would refuse forwarded requests.
    peers: () =>
      membership
        .usablePeers()
        .filter((member) => member.configurationVersion > 0)
        .map(toPeer),
    potentialWatchers: () =>
      membership
        .usablePeers()
        .filter((member) => member.region === region && member.configurationVersion > 0)
        .map((member) => ({
          instanceId: member.instanceId,
          failureDomain: member.failureDomain,
          address: forwardAddress(member),
        })),
    count: () => membership.usablePeers().length + 1,
    countInRegion: () =>
      membership.usablePeers().filter((member) => member.region === region).length + 1,
    possiblyAliveInRegion: () =>
      inRegion()
        .filter(mayBeAlive)
        .map(({ instanceId }) => instanceId),
    possiblyAlivePeers: () => possiblyAliveOthers().filter((peer) => peer.region === region),
    possiblyAliveAnywhere: possiblyAliveOthers,
    reachableShare() {
      const running = inRegion().filter(({ status }) => status !== 'leaving');
      const reachable = running.filter(({ status }) => status === 'alive');
      return reachable.length / Math.max(1, running.length);
    },
  };
}
