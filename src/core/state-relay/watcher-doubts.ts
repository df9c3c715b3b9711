/** Why an instance was of no use as a watcher. */
export type WatcherFault =
  /** It answered that it does not follow the source itself. */
  | 'notFollowing'
  /** It did not answer, or nothing that could be read. */
  | 'noAnswer';

/** Which instances were of no use as watchers lately. */
export interface WatcherDoubts {
  isDoubted(instanceId: string, nowMs: number): boolean;
  note(instanceId: string, fault: WatcherFault, nowMs: number): void;
  /** It answered as a watcher does. */
  clear(instanceId: string): void;
}

/**
 * Time for which one that does not follow the source is passed over, ms. It says so at once, so that asking again costs
 * little, and whoever steps in for a watcher begins within a second.
 */
const NOT_FOLLOWING_MS = 1_000;
/** Time for which one that is silent is passed over, ms: to find out takes each time as long as a watch may last. */
const FIRST_SILENT_MS = 5_000;
/** The longest such time; doubled with each failure up to this. */
const LONGEST_SILENT_MS = 60_000;

interface Doubt {
  readonly untilMs: number;
  readonly silences: number;
}

function nextDoubt(silencesBefore: number, fault: WatcherFault, nowMs: number): Doubt {
  switch (fault) {
    case 'notFollowing':
      return { untilMs: nowMs + NOT_FOLLOWING_MS, silences: 0 };
    case 'noAnswer': {
      const restMs = Math.min(LONGEST_SILENT_MS, FIRST_SILENT_MS * 2 ** silencesBefore);
      return { untilMs: nowMs + restMs, silences: silencesBefore + 1 };
    }
    default:
      return fault satisfies never;
  }
}

/** No doubts yet. */
export function createWatcherDoubts(): WatcherDoubts {
  const doubts = new Map<string, Doubt>();
  return {
    isDoubted: (instanceId, nowMs) => (doubts.get(instanceId)?.untilMs ?? -Infinity) > nowMs,
    note(instanceId, fault, nowMs) {
      doubts.set(instanceId, nextDoubt(doubts.get(instanceId)?.silences ?? 0, fault, nowMs));
    },
    clear(instanceId) {
      doubts.delete(instanceId);
    },
  };
}
