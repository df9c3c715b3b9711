import type { GossipEntry } from '../gossip';
import type { LoadStatement, MemberRecord } from './types';

/** Positions in an instance's three change logs. */
export interface Cursors {
  readonly members: number;
  readonly loads: number;
  readonly statements: number;
}

/** Nothing read yet. */
export const NO_CURSORS: Cursors = { members: 0, loads: 0, statements: 0 };

/** What two instances send one another, as request and as response. */
export interface ExchangeMessage {
  /** The sender itself. */
  readonly from: MemberRecord;
  /** Process of the receiver that `have` counts in; 0 when the sender has nothing of it. */
  readonly haveOfProcess: number;
  /** How much of the receiver's logs the sender has read. */
  readonly have: Cursors;
  /** How much of the sender's logs the receiver has read once it has this message. */
  readonly upTo: Cursors;
  /** Digest of the sender's view of all liveness. */
  readonly viewDigest: number;
  readonly members: readonly MemberRecord[];
  readonly loads: readonly LoadStatement[];
  readonly statements: readonly GossipEntry[];
  /** Hashes of liveness that the sender knows and need not be sent; given while two instances catch up. */
  readonly knownLiveness: readonly number[];
  /** Whether members were left over for want of room. */
  readonly moreMembers: boolean;
}

/** How membership reaches another instance. */
export interface MembershipTransport {
  /** Sends a message and returns the answer; rejects when the peer can't be reached. */
  exchange(peerAddress: string, message: ExchangeMessage): Promise<ExchangeMessage>;
}

const MEMBER_FIXED_BYTES = 64;
const STATEMENT_FIXED_BYTES = 24;

/** Bytes of the hash of one liveness. */
export const STANDING_HASH_BYTES = 4;

/** Bytes of a load statement on the wire, at most. */
export const LOAD_BYTES = 36;

/** Bytes of a member on the wire, within a few. */
export function memberBytes(member: MemberRecord): number {
  return (
    MEMBER_FIXED_BYTES +
    member.instanceId.length +
    member.region.length +
    member.failureDomain.length +
    member.callerAddress.length +
    member.peerAddress.length
  );
}

/** Bytes of a gossip statement on the wire, within a few. */
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
