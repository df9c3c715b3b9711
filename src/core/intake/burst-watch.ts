import type { EventLoopTurns } from './types';

/** Detects whether more connections arrive than the event loop accepts. */
export interface BurstWatch {
  /** Records that a connection was accepted in the current turn. */
  recordConnection(): void;
  /**
   * Whether connections were accepted in consecutive turns, and the latest of them since the last
   * call of `consumeNewConnection`.
   */
  isBurst(): boolean;
  /** Returns whether a connection was accepted since the last call of this method. */
  consumeNewConnection(): boolean;
}

/**
 * Creates a watch for bursts of new connections.
 *
 * The event loop accepts one connection per turn. So a burst shows as connections in consecutive
 * turns, however short the turns are, and not as a late loop: each turn handles little and ends in
 * time, while hundreds of connections wait to be accepted.
 */
export function createBurstWatch(turns: EventLoopTurns): BurstWatch {
  let hasNewConnection = false;
  let hadConnectionInPreviousTurn = false;
  /**
   * Number of the latest connection, so that the end of an earlier connection's turn does not reset
   * a later one.
   */
  let latestConnection = 0;
  return {
    recordConnection() {
      hasNewConnection = true;
      latestConnection += 1;
      const thisConnection = latestConnection;
      turns.atTurnEnd(() => {
        hadConnectionInPreviousTurn = true;
        turns.atTurnEnd(() => {
          if (thisConnection === latestConnection) hadConnectionInPreviousTurn = false;
        });
      });
    },
    isBurst: () => hadConnectionInPreviousTurn && hasNewConnection,
    consumeNewConnection() {
      const hadNewConnection = hasNewConnection;
      hasNewConnection = false;
      return hadNewConnection;
    },
  };
}
