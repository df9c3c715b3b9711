/** Defers work from one turn of the event loop to the next. */
export interface EventLoopTurns {
  /** Calls `callback` after the current turn has handled what it found, before the loop polls again. */
  atTurnEnd(callback: () => void): void;
}

/** A request that has been read and waits to be served by this process. */
export interface WaitingRequest {
  /** Deadline for the answer, monotonic ms. */
  readonly answerDeadlineMs: number;
  /** Whether its caller has left. */
  isGone(): boolean;
  /** Records that the request was dropped, since its caller has left. */
  drop(): void;
  serve(): void;
  /** Refuses the request with a retry delay, ms; nothing of it has run. */
  refuse(retryAfterMs: number): void;
}
