import type { GossipEntry } from '../gossip';
import type { LoadState, LoadStatement, MemberRecord } from './types';

/** Positions in an instance's change logs of members, load statements and gossip statements. */
export interface Cursors {
  readonly members: number;
  readonly loads: number;
  readonly statements: number;
}

/** Cursors of a reader that has read nothing yet. */
export const START_CURSORS: Cursors = { members: 0, loads: 0, statements: 0 };

/** Message that two instances exchange, as request and as reply. */
export interface ExchangeMessage {
  /** The sender itself. */
  readonly from: MemberRecord;
  /** Process token of the receiver to whose logs `have` refers; 0 if the sender has read nothing of them. */
  readonly haveOfProcess: number;
  /** Positions up to which the sender has read the receiver's logs. */
  readonly have: Cursors;
  /** Positions up to which the receiver has read the sender's logs once it has applied this message. */
  readonly upTo: Cursors;
  /** Digest of the liveness of all members in the sender's view. */
  readonly viewDigest: number;
  readonly members: readonly MemberRecord[];
  readonly loads: readonly LoadStatement[];
  readonly statements: readonly GossipEntry[];
  /** Liveness hashes that the sender already knows, so the receiver can skip them; set while two instances catch up. */
  readonly knownLiveness: readonly number[];
  /** Whether further members did not fit into this message. */
  readonly moreMembers: boolean;
}

/** Transport of membership messages between instances. */
export interface MembershipTransport {
  /** Sends a message and returns the reply; rejects if the peer cannot be reached. */
  exchange(peerAddress: string, message: ExchangeMessage): Promise<ExchangeMessage>;
}

const MEMBER_FIXED_BYTES = 64;
const STATEMENT_FIXED_BYTES = 24;

/** Size of a liveness hash on the wire, bytes. */
export const LIVENESS_HASH_BYTES = 4;

/** Maximum size of a load statement without its requests per service on the wire, bytes. */
const MAX_FIXED_LOAD_BYTES = 36;
/** Size of the open requests of one service besides its name on the wire, bytes. */
const SERVICE_REQUESTS_FIXED_BYTES = 8;

function serviceRequestsBytes({ openRequestsByService = [] }: LoadState): number {
  return openRequestsByService.reduce(
    (sum, [service]) => sum + SERVICE_REQUESTS_FIXED_BYTES + service.length,
    0,
  );
}

/** Returns the approximate size of a load statement on the wire, bytes. */
export function loadBytes(load: LoadState): number {
  return MAX_FIXED_LOAD_BYTES + serviceRequestsBytes(load);
}

/** Returns the approximate size of a member on the wire, bytes. */
export function memberBytes(member: MemberRecord): number {
  return (
    MEMBER_FIXED_BYTES +
    member.instanceId.length +
    member.region.length +
    member.failureDomain.length +
    member.callerAddress.length +
    member.peerAddress.length +
    serviceRequestsBytes(member)
  );
}

/** Returns the approximate size of a gossip statement on the wire, bytes. */
export function statementBytes(entry: GossipEntry): number {
  const regions = entry.regions ?? [];
  return (
    STATEMENT_FIXED_BYTES +
    entry.topic.length +
    entry.key.length +
    entry.origin.length +
    entry.payload.length +
    regions.reduce((sum, region) => sum + region.length + 2, 0)
  );
}
