/** Reason why an instance could not serve as a watcher. */
export type WatcherFault =
  /** It answered that it does not follow the source itself, or its state is of an earlier era than known here. */
  | 'notFollowing'
  /** It did not answer, or its answer could not be parsed. */
  | 'noAnswer';

/** Backoffs of instances that recently failed as watchers. */
export interface WatcherBackoffs {
  isBackedOff(instanceId: string, nowMs: number): boolean;
  recordFailure(instanceId: string, fault: WatcherFault, nowMs: number): void;
  /** Ends the backoff of an instance that answered as a watcher. */
  clear(instanceId: string): void;
}

/**
 * How long an instance that does not follow the source is skipped, ms. It says so at once, so that calling it again
 * costs little, and an instance that replaces a watcher begins within a second.
 */
const NOT_FOLLOWING_BACKOFF_MS = 1_000;
/** How long an instance that did not answer is skipped at first, ms: each new call may wait as long as a watch. */
const INITIAL_NO_ANSWER_BACKOFF_MS = 5_000;
/** Maximum time for which an instance that did not answer is skipped, ms; it doubles with each failure up to this. */
const MAX_NO_ANSWER_BACKOFF_MS = 60_000;

interface Backoff {
  readonly untilMs: number;
  readonly noAnswerCount: number;
}

function nextBackoff(previousNoAnswerCount: number, fault: WatcherFault, nowMs: number): Backoff {
  switch (fault) {
    case 'notFollowing':
      return { untilMs: nowMs + NOT_FOLLOWING_BACKOFF_MS, noAnswerCount: 0 };
    case 'noAnswer': {
      const backoffMs = Math.min(
        MAX_NO_ANSWER_BACKOFF_MS,
        INITIAL_NO_ANSWER_BACKOFF_MS * 2 ** previousNoAnswerCount,
      );
      return { untilMs: nowMs + backoffMs, noAnswerCount: previousNoAnswerCount + 1 };
    }
    default:
      return fault satisfies never;
  }
}

/** Creates an empty set of backoffs. */
export function createWatcherBackoffs(): WatcherBackoffs {
  const backoffs = new Map<string, Backoff>();
  return {
    isBackedOff: (instanceId, nowMs) => (backoffs.get(instanceId)?.untilMs ?? -Infinity) > nowMs,
    recordFailure(instanceId, fault, nowMs) {
      backoffs.set(
        instanceId,
        nextBackoff(backoffs.get(instanceId)?.noAnswerCount ?? 0, fault, nowMs),
      );
    },
    clear(instanceId) {
      backoffs.delete(instanceId);
    },
  };
}
