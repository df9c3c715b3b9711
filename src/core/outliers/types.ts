/** A backend server and the group that it is compared with. */
export interface ObservedServer {
  readonly serverId: string;
  /** Name of the group: the servers of one service in one region, which do the same work. */
  readonly group: string;
}

/** Whether a server is in use, ejected, or returning with a reduced share of traffic. */
export type EjectionState = 'inUse' | 'ejected' | 'returning';

/** Reason why a server was ejected. */
export type EjectionReason = 'failures' | 'slow' | 'unreachable';

/** Details of an ejection, for the log. */
export interface Ejection {
  readonly serverId: string;
  readonly group: string;
  readonly reason: EjectionReason;
  readonly untilMs: number;
  /** Number of consecutive ejections, including this one. */
  readonly ejections: number;
}

/** How an attempt failed: no connection could be made, or the answer was incomplete. */
export type AttemptFailure = 'unreachable' | 'broken';

/** One attempt at a server. It ends when its answer is complete, when it fails, or when it is abandoned. */
export interface ObservedAttempt {
  /** Records the head of an answer; `isFailure` is true for a status that indicates a broken server. */
  headReceived(nowMs: number, isFailure: boolean): void;
  /**
   * Records the parts of the answer received since the last call: chunks, or tokens if their number is known.
   */
  partsReceived(count: number): void;
  /** Records that the answer is complete. */
  ended(nowMs: number): void;
  failed(nowMs: number, failure: AttemptFailure): void;
  /** Records that this side gave up: the deadline passed or the caller disconnected. */
  abandoned(nowMs: number): void;
}
