import { NEW_LIFE_PAUSE_THRESHOLD_MS } from './timing';
import type { MemberRecord, SelfDescription, ServiceRequests } from './types';

/**
 * This instance's own record, including the number of its current life.
 *
 * The first life of a process is numbered by the wall clock, which normally ranks a replacement above its predecessor.
 * This is not relied on: clocks of two machines differ, and a replacement whose clock runs behind would look like a
 * stale record of the dead instance and never receive work. So when this process learns of a life of another process
 * that has the same instance id and an equal or higher number, it takes the next number above it. Each process also
 * draws a random token, so that two processes that start with the same number can still be distinguished. A peer that
 * knows a later life than the one claimed by the sender includes it in its reply, so the correction takes one exchange.
 *
 * A process that was paused for {@link NEW_LIFE_PAUSE_THRESHOLD_MS} has been declared dead and perhaps replaced, so it
 * returns as a new life too. Its incarnation stays the same, since it still has its state from before the pause.
 */
export interface SelfRecord {
  /** Returns the record, updated from the current description of this instance. */
  current(): MemberRecord;
  /** Compares a received record of this instance with its own; returns whether the received one had to be refuted. */
  reconcile(record: MemberRecord): boolean;
  /** Records a pause of this process; returns whether it was long enough to start a new life. */
  recordPause(pausedMs: number): boolean;
  /** Sets the status to leaving. */
  markLeaving(): void;
  /** Returns how often this process raised its life above that of another process with the same instance id. */
  idConflictCount(): number;
}

/** Options of {@link createSelfRecord}. */
export interface SelfOptions {
  readonly describeSelf: () => SelfDescription;
  /** Wall clock time at which the process started. */
  readonly incarnation: number;
  readonly processToken: number;
}

function hasSameServiceRequests(
  left: readonly ServiceRequests[] | undefined,
  right: readonly ServiceRequests[] | undefined,
): boolean {
  if (left === undefined || right === undefined) return left === right;
  return (
    left.length === right.length &&
    left.every(
      ([service, count], index) => service === right[index]?.[0] && count === right[index][1],
    )
  );
}

function hasSameLoad(left: MemberRecord, right: SelfDescription): boolean {
  return (
    left.inFlightRequests === right.inFlightRequests &&
    hasSameServiceRequests(left.openRequestsByService, right.openRequestsByService) &&
    left.configurationVersion === right.configurationVersion &&
    left.configurationDigest === right.configurationDigest &&
    left.configurationConfirmed === right.configurationConfirmed &&
    left.watching === right.watching
  );
}

/**
 * Returns whether peers may treat this instance as before. This depends on whether it has a configuration, since an
 * instance without one receives no work. If this were only reported with the load, other regions would learn seconds
 * later that it has one.
 */
function hasSameUsability(left: MemberRecord, right: SelfDescription): boolean {
  const hasSameReadiness = left.configurationVersion > 0 === right.configurationVersion > 0;
  const isSameAddress =
    left.callerAddress === right.callerAddress && left.peerAddress === right.peerAddress;
  return hasSameReadiness && isSameAddress;
}

/** Creates the record of a process that has just started. */
export function createSelfRecord(options: SelfOptions): SelfRecord {
  const { describeSelf, processToken } = options;
  let idConflicts = 0;
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

  const reconcileOtherLife = (other: MemberRecord): boolean => {
    const isLower =
      other.life < record.life || (other.life === record.life && other.processToken < processToken);
    if (isLower) return false;
    idConflicts += 1;
    startNewLife(other.life + 1);
    return true;
  };

  return {
    current() {
      const now = describeSelf();
      const sequence = hasSameUsability(record, now) ? record.sequence : record.sequence + 1;
      const loadSequence = hasSameLoad(record, now) ? record.loadSequence : record.loadSequence + 1;
      record = { ...record, ...now, sequence, loadSequence };
      return record;
    },
    reconcile(other) {
      const isOwnLife = other.life === record.life && other.processToken === processToken;
      if (!isOwnLife) return other.processToken !== processToken && reconcileOtherLife(other);
      if (other.status === 'dead') {
        startNewLife(record.life + 1);
        return true;
      }
      if (other.status !== 'suspect' || other.sequence < record.sequence) return false;
      record = { ...record, sequence: other.sequence + 1 };
      return true;
    },
    recordPause(pausedMs) {
      if (pausedMs < NEW_LIFE_PAUSE_THRESHOLD_MS) return false;
      startNewLife(record.life + 1);
      return true;
    },
    markLeaving() {
      record = { ...record, status: 'leaving', sequence: record.sequence + 1 };
    },
    idConflictCount: () => idConflicts,
  };
}
