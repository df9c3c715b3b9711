/** How an instance stands, as far as this one knows. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One instance as it describes itself, or as others have it. */
export interface MemberState {
  readonly instanceId: string;
  /** Rises with each start of the process. */
  readonly incarnation: number;
  /** Rises with each statement of the incarnation. */
  readonly sequence: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly status: MemberStatus;
  readonly configurationVersion: number;
  readonly inFlightRequests: number;
}

/** The fleet as this instance sees it. */
export interface MembershipView {
  /** This instance. */
  self(): MemberState;
  /** All instances known, this one included, whatever their status. */
  members(): readonly MemberState[];
  /** Other instances that may be given work. */
  usablePeers(): readonly MemberState[];
}
