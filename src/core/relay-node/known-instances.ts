import type { MemberState, Membership } from '../membership';
import type { ForwardPeer } from '../pass-through';

/** The other instances, as this one may use them. */
export interface KnownInstances {
  /** Those that can serve requests that are sent on to them. */
  peers(): readonly ForwardPeer[];
  /** Those that are in use, this one included. */
  count(): number;
  /** Those of this region that are in use, this one included. */
  countInRegion(): number;
  /** Those of this region that may be alive, this one and those under suspicion included. */
  perhapsAliveInRegion(): readonly string[];
}

/** What the view is made from. */
export interface KnownInstancesOptions {
  readonly membership: Membership;
  readonly region: string;
  /** Port on which all instances take forwarded requests. */
  readonly forwardingPort: () => number;
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** A view over the membership. */
export function createKnownInstances(options: KnownInstancesOptions): KnownInstances {
  const { membership, region, forwardingPort } = options;
  const toPeer = (member: MemberState): ForwardPeer => ({
    instanceId: member.instanceId,
    region: member.region,
    forwardAddress: `${hostOf(member.peerAddress)}:${forwardingPort()}`,
    inFlightRequests: member.inFlightRequests,
  });
  return {
    // One that has no routes yet would refuse what it is sent.
    peers: () =>
      membership
        .usablePeers()
        .filter((member) => member.configurationVersion > 0)
        .map(toPeer),
    count: () => membership.usablePeers().length + 1,
    countInRegion: () =>
      membership.usablePeers().filter((member) => member.region === region).length + 1,
    perhapsAliveInRegion: () =>
      membership
        .members()
        .filter((member) => member.region === region)
        .filter((member) => member.status === 'alive' || member.status === 'suspect')
        .map((member) => member.instanceId),
  };
}
