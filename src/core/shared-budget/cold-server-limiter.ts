import { rankCandidates } from '../rendezvous';

/** Decides whether this instance may send a request to a cold server. */
export interface ColdServerLimiter {
  /**
   * Whether this instance is the one that sends to the server, and its last request was long enough ago. Always true
   * for a rate of 0, which means no limit.
   */
  maySend(serverId: string, requestsPerSecond: number, nowMs: number): boolean;
  /** Records a request to the server. */
  recordSent(serverId: string, nowMs: number): void;
  /** Removes the data of all other servers. */
  keepOnly(serverIds: ReadonlySet<string>): void;
}

/**
 * Maximum number of requests per second that one instance sends to a cold server. While instances do not know each
 * other, as right after a power failure of all of them, each may consider itself the sender; three of them together
 * then stay within three times the rate that a server can handle.
 */
const MAX_REQUESTS_PER_SECOND_PER_INSTANCE = 2;
/** Factor on the interval between requests, because requests sent evenly may arrive in bunches. */
const JITTER_FACTOR = 1.05;
/**
 * Time after the start of the process during which it sends nothing to cold servers, ms. It does not know the other
 * instances yet: the first exchanges with them take a second or two.
 */
const DISCOVERY_TIME_MS = 3_000;
const MS_PER_S = 1_000;

/** Options of a limiter for requests to cold servers. */
export interface ColdServerLimiterOptions {
  readonly selfId: string;
  /** Start of this process, monotonic ms. */
  readonly startedAtMs: number;
  /** Instances of this region that may be alive, including this one and suspected ones. */
  readonly instancesInRegion: () => readonly string[];
}

/**
 * Allows one instance of a region to send requests to a cold server, at the rate that the server can handle.
 *
 * When a server restarts with empty caches under full load, each instance would select the idle server. Together they
 * would send far more than it can handle, and it would crash again. All instances rank each other by the same hash, so
 * they agree on the sender without messages.
 */
export function createColdServerLimiter(options: ColdServerLimiterOptions): ColdServerLimiter {
  const lastSentAtMs = new Map<string, number>();
  return {
    maySend(serverId, requestsPerSecond, nowMs) {
      if (requestsPerSecond <= 0) return true;
      if (nowMs - options.startedAtMs < DISCOVERY_TIME_MS) return false;
      if (rankCandidates(serverId, options.instancesInRegion())[0] !== options.selfId) return false;
      const perSecond = Math.min(requestsPerSecond, MAX_REQUESTS_PER_SECOND_PER_INSTANCE);
      const intervalMs = (MS_PER_S / perSecond) * JITTER_FACTOR;
      return nowMs - (lastSentAtMs.get(serverId) ?? -Infinity) >= intervalMs;
    },
    recordSent(serverId, nowMs) {
      lastSentAtMs.set(serverId, nowMs);
    },
    keepOnly(serverIds) {
      for (const serverId of lastSentAtMs.keys()) {
        if (!serverIds.has(serverId)) lastSentAtMs.delete(serverId);
      }
    },
  };
}
