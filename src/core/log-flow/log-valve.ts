import type { EventLevel } from '../events';
import { decideLine } from './decide-line';

/** Lines that were left out since the last account of them. */
export interface DroppedLines {
  /** Lines about failures. */
  readonly failures: number;
  readonly others: number;
}

/** Lets lines through as far as their reader keeps up, and counts the others. */
export interface LogValve {
  lets(level: EventLevel): boolean;
  /** What was left out, once lines of all kinds are let through again; undefined while there is nothing to tell. */
  takeAccount(): DroppedLines | undefined;
}

/** A valve that has left out nothing; `waitingBytes` is asked for each line. */
export function createLogValve(waitingBytes: () => number): LogValve {
  let failures = 0;
  let others = 0;
  return {
    lets(level) {
      if (decideLine(level, waitingBytes()) === 'write') return true;
      if (level === 'error' || level === 'warn') failures += 1;
      else others += 1;
      return false;
    },
    takeAccount() {
      const isNothing = failures + others === 0;
      if (isNothing || decideLine('debug', waitingBytes()) === 'drop') return undefined;
      const account = { failures, others };
      failures = 0;
      others = 0;
      return account;
    },
  };
}
