import type { EventLoopTurns } from '../core/intake';

/** The turns of Node's event loop: what is put off comes after the events of this turn, and before the next look. */
export function createSystemTurns(): EventLoopTurns {
  return {
    atTurnEnd(callback) {
      setImmediate(callback);
    },
  };
}
