import type { WaitingRequest } from './types';

/** Queue of the requests that wait in the process. */
export interface IntakeQueue {
  size(): number;
  /** Adds a request that was read in the current turn. */
  add(request: WaitingRequest): void;
  /** Removes and returns the next request to serve; undefined if none may be served yet. */
  next(): WaitingRequest | undefined;
  /** Removes and returns the requests whose callers have left. */
  removeGone(): readonly WaitingRequest[];
  /** Removes and returns the requests that cannot be served in time if each takes `costMs`. */
  removeTooLate(costMs: number, nowMs: number): readonly WaitingRequest[];
  /** Ends the turn: requests that were read in it may be served in the next one. */
  endTurn(): void;
}

/**
 * Creates a queue that serves the newest request first.
 *
 * The queue is for callers that arrive faster than one process serves them, as after a power loss.
 * First in, first out would answer each of them after the same long wait, at the end of which most
 * have given up: the process would be fully loaded for minutes without a request in time. So the
 * newest request is served first, which is in time, and the oldest are refused as soon as they are
 * predicted to be served too late.
 *
 * Requests are not served in the turn in which they were read: the loop only detects that a caller
 * has left when it polls again.
 */
export function createIntakeQueue(): IntakeQueue {
  let readThisTurn: WaitingRequest[] = [];
  /** Oldest first. */
  let waiting: WaitingRequest[] = [];
  return {
    size: () => readThisTurn.length + waiting.length,
    add(request) {
      readThisTurn.push(request);
    },
    next: () => waiting.pop(),
    removeGone() {
      const gone = waiting.filter((request) => request.isGone());
      if (gone.length > 0) waiting = waiting.filter((request) => !request.isGone());
      return gone;
    },
    removeTooLate(costMs, nowMs) {
      const { length } = waiting;
      const isTooLate = ({ answerDeadlineMs }: WaitingRequest, index: number) =>
        nowMs + (length - 1 - index) * costMs >= answerDeadlineMs;
      const tooLate = waiting.filter(isTooLate);
      if (tooLate.length > 0) {
        waiting = waiting.filter((request, index) => !isTooLate(request, index));
      }
      return tooLate;
    },
    endTurn() {
      waiting.push(...readThisTurn);
      readThisTurn = [];
    },
  };
}
