import { create } from '@bufbuild/protobuf';
import { MemberSchema, MemberStatus as WireStatus } from '../../gen/membership_pb';
import type { Member } from '../../gen/membership_pb';
import type { MemberState, MemberStatus } from '../membership';

const WIRE_STATUSES: Readonly<Record<MemberStatus, WireStatus>> = {
  alive: WireStatus.ALIVE,
  suspect: WireStatus.SUSPECT,
  leaving: WireStatus.LEAVING,
  dead: WireStatus.DEAD,
};

function fromWireStatus(status: WireStatus): MemberStatus {
  switch (status) {
    case WireStatus.ALIVE:
      return 'alive';
    case WireStatus.LEAVING:
      return 'leaving';
    case WireStatus.DEAD:
      return 'dead';
    // A status that this release does not know counts as doubt, which keeps work away and harms nothing.
    case WireStatus.SUSPECT:
    case WireStatus.UNSPECIFIED:
    default:
      return 'suspect';
  }
}

/** A member as it goes over the wire. */
export function toWireMember(state: MemberState): Member {
  return create(MemberSchema, {
    ...state,
    incarnation: BigInt(state.incarnation),
    sequence: BigInt(state.sequence),
    configurationVersion: BigInt(state.configurationVersion),
    status: WIRE_STATUSES[state.status],
  });
}

/** A member as it came over the wire. */
export function fromWireMember(member: Member): MemberState {
  return {
    instanceId: member.instanceId,
    incarnation: Number(member.incarnation),
    sequence: Number(member.sequence),
    region: member.region,
    failureDomain: member.failureDomain,
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress,
    status: fromWireStatus(member.status),
    configurationVersion: Number(member.configurationVersion),
    inFlightRequests: member.inFlightRequests,
  };
}
