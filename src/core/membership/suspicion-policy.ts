import { MAX_SUSPICION_BACKOFF_MS, SUSPECT_AFTER_FAILURES, SUSPICION_TIMEOUT_MS } from './timing';

/**
 * Decides when failed exchanges become a suspicion that is broadcast to the fleet.
 *
 * It limits the effect of a link that fails in one direction only or between two places only. The instance that cannot
 * reach a peer would suspect it, the peer would refute this through a third instance, and so on for as long as the link
 * is down. Each round would cross the whole fleet and make the peer unusable everywhere for a moment. So after each
 * refutation the suspecting instance doubles its backoff before it suspects that peer again. In the meantime it sends
 * the peer none of its own work, which needs no agreement with others.
 */
export interface SuspicionPolicy {
  /** Records a failed exchange; returns whether to broadcast a suspicion of the peer. */
  recordFailure(instanceId: string, nowMs: number): boolean;
  /** Resets the failure count of a peer after a successful exchange. */
  recordReply(instanceId: string): void;
  /** Records that a peer has refuted a suspicion; starts a backoff if the suspicion came from this instance. */
  recordRefutation(instanceId: string, nowMs: number): void;
  /** Returns whether exchanges from this instance currently fail, regardless of what others report. */
  isUnreachable(instanceId: string): boolean;
  /** Resets the failure counts after a pause of this process, since earlier failures prove nothing then. */
  clearFailures(): void;
  /** Removes all state of a peer, including its backoff. */
  forget(instanceId: string): void;
}

interface SuspicionRecord {
  failures: number;
  hasSuspected: boolean;
  backoffMs: number;
  backoffUntilMs: number;
}

/** Creates a policy without any recorded failures. */
export function createSuspicionPolicy(): SuspicionPolicy {
  const records = new Map<string, SuspicionRecord>();

  const recordFor = (instanceId: string): SuspicionRecord => {
    const known = records.get(instanceId);
    if (known !== undefined) return known;
    const created = { failures: 0, hasSuspected: false, backoffMs: 0, backoffUntilMs: 0 };
    records.set(instanceId, created);
    return created;
  };

  return {
    recordFailure(instanceId, nowMs) {
      const record = recordFor(instanceId);
      record.failures += 1;
      if (record.failures < SUSPECT_AFTER_FAILURES || nowMs < record.backoffUntilMs) return false;
      record.hasSuspected = true;
      return true;
    },
    recordReply(instanceId) {
      const record = records.get(instanceId);
      if (record !== undefined) record.failures = 0;
    },
    recordRefutation(instanceId, nowMs) {
      const record = recordFor(instanceId);
      if (!record.hasSuspected) return;
      record.hasSuspected = false;
      record.backoffMs = Math.min(
        MAX_SUSPICION_BACKOFF_MS,
        Math.max(SUSPICION_TIMEOUT_MS, record.backoffMs * 2),
      );
      record.backoffUntilMs = nowMs + record.backoffMs;
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
