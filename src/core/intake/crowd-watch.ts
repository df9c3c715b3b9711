import type { Turns } from './types';

/** Knows whether more connections come than the event loop accepts. */
export interface CrowdWatch {
  /** Notes that a connection was accepted in the turn under way. */
  noteConnection(): void;
  /** Whether the turn before this one accepted a connection as well. */
  isCrowd(): boolean;
  /** Whether one was accepted since this was last asked. */
  takeNew(): boolean;
}

/**
 * A watch that has seen no connection.
 *
 * The loop accepts one connection in each of its turns, so a crowd shows as connections in turn after turn, however short
 * the turns are, and not as a late loop: each turn handles little and ends in time, while hundreds wait to be accepted.
 */
export function createCrowdWatch(turns: Turns): CrowdWatch {
  let isNew = false;
  let hadOneBefore = false;
  /** Counts turns with connections, so that a later one is not undone by an earlier one's end. */
  let latest = 0;
  return {
    noteConnection() {
      isNew = true;
      latest += 1;
      const own = latest;
      turns.atEnd(() => {
        hadOneBefore = true;
        turns.atEnd(() => {
          if (own === latest) hadOneBefore = false;
        });
      });
    },
    isCrowd: () => hadOneBefore && isNew,
    takeNew() {
      const wasNew = isNew;
      isNew = false;
      return wasNew;
    },
  };
}
