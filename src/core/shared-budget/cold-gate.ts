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
 * Requests that one instance sends in any second at most. Instances that know nothing of one another, as right
 * after all of them lost power, may each take themselves for the one that sends; three of them together then
 * stay within three times what a server bears at an even rate.
 */
const MOST_PER_SECOND = 2;
/** Room for requests that leave evenly and arrive bunched. */
const JITTER_SHARE = 1.05;
/**
 * Age of a process before which it sends to no cold server. It has not heard yet who else is there: the first
 * exchanges with other instances take a second or two.
 */
const SETTLED_AFTER_MS = 3_000;
const MS_PER_S = 1_000;

/** What the gate is made from. */
export interface ColdGateOptions {
  readonly selfId: string;
  /** Monotonic time at which this process started. */
  readonly startedAtMs: number;
  /** Instances of this region that may be alive, this one and those under suspicion included. */
  readonly instancesInRegion: () => readonly string[];
}

/**
 * Lets one instance of a region send to a cold server, at the rate that it bears.
 *
 * Answers servers that come back empty into full load: each instance takes the idle server for the best one,
 * together they send far more than it bears, and it crashes again. Instances rank one another by the same
 * hash, so they agree on who sends without a message.
 */
export function createColdGate(options: ColdGateOptions): ColdGate {
  const lastSentAtMs = new Map<string, number>();
  return {
    isOpen(serverId, requestsPerSecond, nowMs) {
      if (requestsPerSecond <= 0) return true;
      if (nowMs - options.startedAtMs < SETTLED_AFTER_MS) return false;
      if (rankFor(serverId, options.instancesInRegion())[0] !== options.selfId) return false;
      const perSecond = Math.min(requestsPerSecond, MOST_PER_SECOND);
      const gapMs = (MS_PER_S / perSecond) * JITTER_SHARE;
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
