/** Turns of the event loop, as far as work is put off from one to another. */
export interface Turns {
  /** Calls back when the turn under way has handled what it found, before the next one looks for more. */
  atEnd(callback: () => void): void;
}

/** A request that has been read and waits for its turn in this process. */
export interface WaitingRequest {
  /** When it has to be answered at the latest, monotonic ms. */
  readonly answerByMs: number;
  /** Whether its caller has left. */
  isGone(): boolean;
  /** Notes that it was dropped, since its caller has left. */
  drop(): void;
  serve(): void;
  /** Refuses it, with the time to come back after, ms; nothing of it has run. */
  refuse(retryAfterMs: number): void;
}
