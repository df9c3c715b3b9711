/** What a turn of the event loop may be occupied with. */
export type LoopWork =
  /** Bytes of a server, of the store or of another instance, in answer to something sent there. */
  | 'answerBytes'
  /** A request of a caller or of another instance. */
  | 'request'
  /** A datagram of another instance. */
  | 'statement'
  | 'periodicTasks';

/** A piece of work, and how long it has occupied the event loop at most. */
export interface OccupiedLoop {
  readonly work: LoopWork;
  /** Address that the work was for; empty if there is none. */
  readonly subject: string;
  readonly tookMs: number;
}

/** Keeps what the event loop is occupied with. */
export interface LoopActivity {
  /** Records that a piece of work begins, and that the one before has ended. */
  begin(work: LoopWork, subject?: string): void;
  /** Returns the longest piece of work since the last call; it may include time in which the loop was idle. */
  takeLongest(): OccupiedLoop | undefined;
}
