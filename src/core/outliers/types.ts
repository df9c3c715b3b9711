/** A backend server and those it is compared with. */
export interface ObservedServer {
  readonly serverId: string;
  /** Servers of one service in one region, which do the same work. */
  readonly group: string;
}

/** How a server is used. */
export type EjectionState = 'inUse' | 'ejected' | 'returning';

/** Why a server was ejected. */
export type EjectionReason = 'failures' | 'slow' | 'unreachable';

/** A server that was ejected, for the log. */
export interface Ejection {
  readonly serverId: string;
  readonly group: string;
  readonly reason: EjectionReason;
  readonly untilMs: number;
  /** Ejections in a row, this one included. */
  readonly ejections: number;
}

/** How a try failed: no connection could be made, or the answer was not whole. */
export type TryFailure = 'unreachable' | 'broken';

/** One try at a server. It ends with the end of its answer, with its failure, or by being abandoned. */
export interface ObservedTry {
  /** The head of an answer came; `isFailure` for a status that speaks of a broken server. */
  headReceived(nowMs: number, isFailure: boolean): void;
  /** Parts of the answer have come since the last call: chunks, or tokens where they are known. */
  partsReceived(count: number): void;
  /** The answer is whole. */
  ended(nowMs: number): void;
  failed(nowMs: number, failure: TryFailure): void;
  /** This side gave it up: its deadline passed or its caller has gone. */
  abandoned(nowMs: number): void;
}
