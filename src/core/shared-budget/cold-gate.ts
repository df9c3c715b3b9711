import { rankFor } from '../rendezvous';

/** Whether a cold server may be given a request from here. */
export interface ColdGate {
  /** Whether this instance is the one that sends to the server, and has not sent too lately. */
  isOpen(serverId: string, requestsPerSecond: number, nowMs: number): boolean;
  /** Notes a request to the server. */
  noteSent(serverId: string, nowMs: number): void;
  keepOnly(serverIds: ReadonlySet<string>): void;
}

/**
 * Part of the rate that a cold server bears which is used. Requests that leave evenly arrive bunched after a
 * delay on the way, and a few may come from an instance that has not heard yet who sends.
 */
const SHARE_USED = 0.9;

/**
 * Lets one instance of a region send to a cold server, at the rate that it bears.
 *
 * Answers servers that come back empty into full load: each instance takes the idle server for the best one,
 * together they send far more than it bears, and it crashes again. Instances rank one another by the same
 * hash, so they agree on who sends without a message; while they disagree over who lives, two send at most.
 */
export function createColdGate(
  selfId: string,
  instancesInRegion: () => readonly string[],
): ColdGate {
  const lastSentAtMs = new Map<string, number>();
  return {
    isOpen(serverId, requestsPerSecond, nowMs) {
      if (requestsPerSecond <= 0) return true;
      if (rankFor(serverId, instancesInRegion())[0] !== selfId) return false;
      const gapMs = 1_000 / (requestsPerSecond * SHARE_USED);
      return nowMs - (lastSentAtMs.get(serverId) ?? -Infinity) >= gapMs;
    },
    noteSent(serverId, nowMs) {
      lastSentAtMs.set(serverId, nowMs);
    },
    keepOnly(serverIds) {
      for (const serverId of lastSentAtMs.keys()) {
        if (!serverIds.has(serverId)) lastSentAtMs.delete(serverId);
      }
    },
  };
}
