import { NEW_LIFE_AFTER_PAUSE_MS } from './timing';
import type { MemberRecord, SelfDescription } from './types';

/**
 * This instance's own record and the number of its life.
 *
 * A life starts from the wall clock, which as a rule puts a replacement above its predecessor. That is not
 * relied on: clocks of two machines differ, and a replacement whose clock runs behind would be held for a
 * stale report of the dead one and never be given work. So whenever this process hears of a life of its own
 * name that is not its own and not lower, it takes the next number above that. Each process also draws a
 * token, so that two processes that start from the same number are still told apart. Whoever knows of a later
 * life than a peer claims says so in its answer, hence the correction takes one exchange.
 *
 * A process that stood still for long has been held dead and perhaps replaced; it comes back as a new life
 * too. Its incarnation stays, since it still remembers what it did before.
 */
export interface SelfRecord {
  current(): MemberRecord;
  /** Hears what others say of this instance; true when it had to contradict. */
  hear(record: MemberRecord): boolean;
  /** This process stood still for `pausedMs`; true when it starts a new life over it. */
  notePause(pausedMs: number): boolean;
  markLeaving(): void;
  /** Times that another process's life of the same name had to be overtaken. */
  overtakenCount(): number;
}

/** What the own record is made of. */
export interface SelfOptions {
  readonly describeSelf: () => SelfDescription;
  /** Wall clock at the start of the process. */
  readonly incarnation: number;
  readonly processToken: number;
}

function isSameLoad(left: MemberRecord, right: SelfDescription): boolean {
  return (
    left.inFlightRequests === right.inFlightRequests &&
    left.configurationVersion === right.configurationVersion &&
    left.configurationDigest === right.configurationDigest &&
    left.configurationConfirmed === right.configurationConfirmed &&
    left.watching === right.watching
  );
}

/**
 * Whether others may go on treating this instance as they do. Having a configuration counts, since one without is given
 * no work: told with its load, that it has one now would reach other regions seconds later.
 */
function isSamePlace(left: MemberRecord, right: SelfDescription): boolean {
  const isConfigured = left.configurationVersion > 0 === right.configurationVersion > 0;
  const isSameAddress =
    left.callerAddress === right.callerAddress && left.peerAddress === right.peerAddress;
  return isConfigured && isSameAddress;
}

/** The record of a process that has just started. */
export function createSelfRecord(options: SelfOptions): SelfRecord {
  const { describeSelf, processToken } = options;
  let overtaken = 0;
  let record: MemberRecord = {
    ...describeSelf(),
    incarnation: options.incarnation,
    life: options.incarnation,
    sequence: 0,
    loadSequence: 0,
    status: 'alive',
    processToken,
  };

  const startNewLife = (life: number) => {
    record = { ...record, life, sequence: 0, loadSequence: 0 };
  };

  const hearOfOtherLife = (other: MemberRecord): boolean => {
    const isLower =
      other.life < record.life || (other.life === record.life && other.processToken < processToken);
    if (isLower) return false;
    overtaken += 1;
    startNewLife(other.life + 1);
    return true;
  };

  return {
    current() {
      const now = describeSelf();
      const sequence = isSamePlace(record, now) ? record.sequence : record.sequence + 1;
      const loadSequence = isSameLoad(record, now) ? record.loadSequence : record.loadSequence + 1;
      record = { ...record, ...now, sequence, loadSequence };
      return record;
    },
    hear(other) {
      const isOwnLife = other.life === record.life && other.processToken === processToken;
      if (!isOwnLife) return other.processToken !== processToken && hearOfOtherLife(other);
      if (other.status === 'dead') {
        startNewLife(record.life + 1);
        return true;
      }
      if (other.status !== 'suspect' || other.sequence < record.sequence) return false;
      record = { ...record, sequence: other.sequence + 1 };
      return true;
    },
    notePause(pausedMs) {
      if (pausedMs < NEW_LIFE_AFTER_PAUSE_MS) return false;
      startNewLife(record.life + 1);
      return true;
    },
    markLeaving() {
      record = { ...record, status: 'leaving', sequence: record.sequence + 1 };
    },
    overtakenCount: () => overtaken,
  };
}
