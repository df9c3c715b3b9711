import type { MemberState, Membership } from '../membership';
import type { ForwardPeer } from '../pass-through';
import type { RelayInstance } from '../state-relay';

/** The other instances, as this one may use them. */
export interface KnownInstances {
  /** Those that can serve requests that are sent on to them. */
  peers(): readonly ForwardPeer[];
  /** Those that may watch the source of published state for this one. */
  perhapsWatching(): readonly RelayInstance[];
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
  const forwardAddress = (member: MemberState) =>
    `${hostOf(member.peerAddress)}:${forwardingPort()}`;
  const toPeer = (member: MemberState): ForwardPeer => ({
    instanceId: member.instanceId,
    region: member.region,
    forwardAddress: forwardAddress(member),
    inFlightRequests: member.inFlightRequests,
  });
  return {
    // One that has no routes yet would refuse what it is sent.
    peers: () =>
      membership
        .usablePeers()
        .filter((member) => member.configurationVersion > 0)
        .map(toPeer),
    perhapsWatching: () =>
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
    perhapsAliveInRegion: () =>
      membership
        .members()
        .filter((member) => member.region === region)
        .filter((member) => member.status === 'alive' || member.status === 'suspect')
        .map((member) => member.instanceId),
  };
}
