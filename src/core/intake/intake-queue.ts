import type { WaitingRequest } from './types';

/** Requests that wait in the process, and the order in which they are served. */
export interface IntakeQueue {
  size(): number;
  /** Adds one that was read in the turn under way. */
  add(request: WaitingRequest): void;
  /** The next to be served; undefined where none may be yet. */
  next(): WaitingRequest | undefined;
  /** Takes out those whose callers have left. */
  takeGone(): readonly WaitingRequest[];
  /** Takes out those that will not be served in time, where each takes `costMs`. */
  takeHopeless(costMs: number, nowMs: number): readonly WaitingRequest[];
  /** Ends the turn: what was read in it may be served in the next one. */
  endTurn(): void;
}

/**
 * A queue in which nobody waits.
 *
 * Answers callers who come faster than one process serves them, as after a loss of power. First come, first served
 * would give each of them an answer after the same long wait, at the end of which most have given up: the process is
 * busy all the time and serves nobody. One notices minutes of full load with no request in time. So the newest goes
 * first, which is in time, and the oldest are refused as soon as it shows that their turn comes too late.
 *
 * What was read in this turn is not served in it: a caller that has left shows only when the loop looks again.
 */
export function createIntakeQueue(): IntakeQueue {
  let fresh: WaitingRequest[] = [];
  /** Oldest first. */
  let waiting: WaitingRequest[] = [];
  return {
    size: () => fresh.length + waiting.length,
    add(request) {
      fresh.push(request);
    },
    next: () => waiting.pop(),
    takeGone() {
      const gone = waiting.filter((request) => request.isGone());
      if (gone.length > 0) waiting = waiting.filter((request) => !request.isGone());
      return gone;
    },
    takeHopeless(costMs, nowMs) {
      const { length } = waiting;
      const isHopeless = ({ answerByMs }: WaitingRequest, index: number) =>
        nowMs + (length - 1 - index) * costMs >= answerByMs;
      const hopeless = waiting.filter(isHopeless);
      if (hopeless.length > 0) {
        waiting = waiting.filter((request, index) => !isHopeless(request, index));
      }
      return hopeless;
    },
    endTurn() {
      waiting.push(...fresh);
      fresh = [];
    },
  };
}
