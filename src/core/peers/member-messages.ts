import { create } from '@bufbuild/protobuf';
import { LoadSchema, MemberSchema, MemberStatus as WireStatus } from '../../gen/membership_pb';
import type { Load, Member } from '../../gen/membership_pb';
import type { LoadStatement, MemberRecord, MemberStatus } from '../membership';

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
export function toWireMember(record: MemberRecord): Member {
  return create(MemberSchema, {
    ...record,
    incarnation: BigInt(record.incarnation),
    life: BigInt(record.life),
    sequence: BigInt(record.sequence),
    configurationVersion: BigInt(record.configurationVersion),
    configurationSinceUnixMs: BigInt(record.configurationSinceUnixMs),
    status: WIRE_STATUSES[record.status],
  });
}

/** A member as it came over the wire. */
export function fromWireMember(member: Member): MemberRecord {
  return {
    instanceId: member.instanceId,
    incarnation: Number(member.incarnation),
    life: Number(member.life),
    sequence: Number(member.sequence),
    region: member.region,
    failureDomain: member.failureDomain,
    callerAddress: member.callerAddress,
    peerAddress: member.peerAddress,
    status: fromWireStatus(member.status),
    configurationVersion: Number(member.configurationVersion),
    inFlightRequests: member.inFlightRequests,
    loadSequence: member.loadSequence,
    processToken: member.processToken,
    configurationDigest: member.configurationDigest,
    configurationSinceUnixMs: Number(member.configurationSinceUnixMs),
    configurationConfirmed: member.configurationConfirmed,
    watching: member.watching,
  };
}

/** A load statement as it goes over the wire. */
export function toWireLoad(statement: LoadStatement): Load {
  return create(LoadSchema, {
    ...statement,
    configurationVersion: BigInt(statement.configurationVersion),
    configurationSinceUnixMs: BigInt(statement.configurationSinceUnixMs),
  });
}

/** A load statement as it came over the wire. */
export function fromWireLoad(load: Load): LoadStatement {
  return {
    memberKey: load.memberKey,
    wide: load.wide,
    loadSequence: load.loadSequence,
    inFlightRequests: load.inFlightRequests,
    configurationVersion: Number(load.configurationVersion),
    configurationDigest: load.configurationDigest,
    configurationSinceUnixMs: Number(load.configurationSinceUnixMs),
    configurationConfirmed: load.configurationConfirmed,
    watching: load.watching,
  };
}
