/** Status of an instance as known to this one. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** State of an instance, as described by itself or as known to others. */
export interface MemberState {
  readonly instanceId: string;
  /** Wall clock time at which the process started; identifies the process and does not change while it runs. */
  readonly incarnation: number;
  /** Increases with each change that the instance makes to its own liveness within one life. */
  readonly sequence: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly status: MemberStatus;
  readonly configurationVersion: number;
  readonly inFlightRequests: number;
  /**
   * Open requests per service, sorted by service, without the services that have none. Undefined if the instance does
   * not state them: its release is older, or it uses the protobuf encoding.
   */
  readonly openRequestsByService?: readonly ServiceRequests[] | undefined;
}

/** Open requests of an instance at the servers of one service. */
export type ServiceRequests = readonly [service: string, openRequests: number];

/** Frequently changing fields of a member record, which spread separately from the others. */
export interface LoadState {
  /** Increases with each change of load within one life. */
  readonly loadSequence: number;
  readonly inFlightRequests: number;
  /** See {@link MemberState.openRequestsByService}. */
  readonly openRequestsByService?: readonly ServiceRequests[] | undefined;
  readonly configurationVersion: number;
  /** First 32 bits of the SHA-256 of the configuration version's root. */
  readonly configurationDigest: number;
  /** Time at which the configuration version took effect on that instance, by its machine's clock. */
  readonly configurationSinceUnixMs: number;
  /** Whether an instance that was already running confirmed the configuration version. */
  readonly configurationConfirmed: boolean;
  /** Whether the instance currently reads the configuration service successfully. */
  readonly watching: boolean;
}

/** Complete record of a member, as instances exchange it. */
export interface MemberRecord extends MemberState, LoadState {
  /** Orders the lives of one instance id: increases with each start and each return after being considered dead. */
  readonly life: number;
  /** Random unsigned 32-bit number drawn by each process; distinguishes two processes with one instance id. */
  readonly processToken: number;
}

/** Load statement as it is sent to other instances. */
export interface LoadStatement extends LoadState {
  /** Hash of the member's instance id, life and process token. */
  readonly memberKey: number;
  /** Whether the statement is also sent to other regions, which need load updates less often. */
  readonly wide: boolean;
}

/** Description of an instance by itself; membership adds the remaining fields. */
export type SelfDescription = Omit<
  MemberRecord,
  'incarnation' | 'life' | 'sequence' | 'status' | 'loadSequence' | 'processToken'
>;

/** View of the fleet from this instance. */
export interface MembershipView {
  /** This instance. */
  self(): MemberState;
  /** Returns all known instances of any status, including this one. */
  members(): readonly MemberState[];
  /** Returns the other instances that may receive work. */
  usablePeers(): readonly MemberState[];
}

/** Change of another instance's liveness. */
export interface MemberChange {
  readonly member: MemberRecord;
  /** Undefined for an instance that was unknown before. */
  readonly previousStatus: MemberStatus | undefined;
  /** Whether the instance was replaced or has resumed after a pause, so that its former state no longer applies. */
  readonly isNewLife: boolean;
}

/** Source of liveness changes. */
export interface MembershipChanges {
  /** Calls back for each change of another instance's liveness. */
  onChange(listener: (change: MemberChange) => void): Disposable;
}
