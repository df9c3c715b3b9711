import { LONGEST_HOLD_OFF_MS, SUSPECT_AFTER_FAILURES, SUSPICION_MS } from './timing';

/**
 * When exchanges that fail become a suspicion that all are told.
 *
 * The pattern it answers is a link that fails in one direction or between two places only: the one instance
 * that can't reach another would suspect it, the other deny it over a third, and so on for as long as the link
 * is down, with each round crossing the whole fleet and taking the instance out of use everywhere for a
 * moment. So after each denial the same instance holds off twice as long. It keeps its own work away from the
 * peer all the while, which needs nobody's agreement.
 */
export interface SuspicionPolicy {
  /** An exchange failed; true when the peer should be suspected before all. */
  noteFailure(instanceId: string, nowMs: number): boolean;
  noteAnswer(instanceId: string): void;
  /** A peer that was suspected here denied it. */
  noteDenial(instanceId: string, nowMs: number): void;
  /** Whether exchanges from here fail just now, whatever others say. */
  isUnreachable(instanceId: string): boolean;
  /** After a pause: failures of before prove nothing. */
  clearFailures(): void;
  forget(instanceId: string): void;
}

interface SuspicionRecord {
  failures: number;
  hasSuspected: boolean;
  holdOffMs: number;
  heldUntilMs: number;
}

/** A policy that has seen nothing yet. */
export function createSuspicionPolicy(): SuspicionPolicy {
  const records = new Map<string, SuspicionRecord>();

  const of = (instanceId: string): SuspicionRecord => {
    const known = records.get(instanceId);
    if (known !== undefined) return known;
    const fresh = { failures: 0, hasSuspected: false, holdOffMs: 0, heldUntilMs: 0 };
    records.set(instanceId, fresh);
    return fresh;
  };

  return {
    noteFailure(instanceId, nowMs) {
      const record = of(instanceId);
      record.failures += 1;
      if (record.failures < SUSPECT_AFTER_FAILURES || nowMs < record.heldUntilMs) return false;
      record.hasSuspected = true;
      return true;
    },
    noteAnswer(instanceId) {
      const record = records.get(instanceId);
      if (record !== undefined) record.failures = 0;
    },
    noteDenial(instanceId, nowMs) {
      const record = of(instanceId);
      if (!record.hasSuspected) return;
      record.hasSuspected = false;
      record.holdOffMs = Math.min(
        LONGEST_HOLD_OFF_MS,
        Math.max(SUSPICION_MS, record.holdOffMs * 2),
      );
      record.heldUntilMs = nowMs + record.holdOffMs;
    },
    isUnreachable: (instanceId) =>
      (records.get(instanceId)?.failures ?? 0) >= SUSPECT_AFTER_FAILURES,
    clearFailures() {
      for (const record of records.values()) record.failures = 0;
    },
    forget(instanceId) {
      records.delete(instanceId);
    },
  };
}
