/** How an instance stands, as far as this one knows. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One instance as it describes itself, or as others have it. */
export interface MemberState {
  readonly instanceId: string;
  /** Names the process: the wall clock at its start, which stays the same while it runs. */
  readonly incarnation: number;
  /** Rises with each statement of one life about its liveness. */
  readonly sequence: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly status: MemberStatus;
  readonly configurationVersion: number;
  readonly inFlightRequests: number;
}

/** The part of a member that changes all the time and spreads apart from the rest. */
export interface LoadState {
  /** Rises with each statement of load within a life. */
  readonly loadSequence: number;
  readonly inFlightRequests: number;
  readonly configurationVersion: number;
  /** First 32 bits of the SHA-256 of that version's root. */
  readonly configurationDigest: number;
  /** When that version came into force there, by that machine's clock. */
  readonly configurationSinceUnixMs: number;
  /** Whether an instance that was there before vouched for that version. */
  readonly configurationConfirmed: boolean;
  /** Whether the instance reads the configuration service with success just now. */
  readonly watching: boolean;
}

/** All that instances tell one another about a member. */
export interface MemberRecord extends MemberState, LoadState {
  /** Orders the lives of one name: rises with each start and with each return from being held dead. */
  readonly life: number;
  /** Drawn at random by each process; tells two processes of one name apart. Unsigned 32 bits. */
  readonly processToken: number;
}

/** A load statement as it spreads: the member is named by a hash. */
export interface LoadStatement extends LoadState {
  readonly memberKey: number;
  /** Whether it goes on to other regions, which need load more rarely. */
  readonly wide: boolean;
}

/** What an instance says of itself; membership fills in the rest. */
export type SelfDescription = Omit<
  MemberRecord,
  'incarnation' | 'life' | 'sequence' | 'status' | 'loadSequence' | 'processToken'
>;

/** The fleet as this instance sees it. */
export interface MembershipView {
  /** This instance. */
  self(): MemberState;
  /** All instances known, this one included, whatever their status. */
  members(): readonly MemberState[];
  /** Other instances that may be given work. */
  usablePeers(): readonly MemberState[];
}

/** A change of another instance's liveness. */
export interface MemberChange {
  readonly member: MemberRecord;
  /** Undefined for an instance heard of for the first time. */
  readonly previousStatus: MemberStatus | undefined;
  /** A replaced or woken instance: nothing that was known of the former life holds. */
  readonly isNewLife: boolean;
}

/** Tells of changes of liveness as they are learned. */
export interface MembershipChanges {
  onChange(listener: (change: MemberChange) => void): Disposable;
}
