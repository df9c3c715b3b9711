import type { Clock } from '../clock';

/** Progress of a stream that is passed on, across all servers that served a part of it. */
export interface StreamProgress {
  readonly lastEventId: string | undefined;
  /**
   * Software version of the server that wrote the latest event; undefined before the first event, and if another instance
   * does not state it.
   */
  readonly softwareVersion: string | undefined;
  /** Number of events that have been passed on, comments included. */
  readonly events: number;
  /** Maximum pause between two events so far, across all servers, ms. */
  readonly longestPauseMs: number;
  /** Records an event that has been passed on, and the software version of the server that wrote it. */
  recordEvent(eventId: string | undefined, softwareVersion: string | undefined): void;
  /** Records an event without data and id that has been passed on; it is the same whichever server wrote it. */
  recordComment(): void;
}

/**
 * Creates the progress of a stream that resumes after the event `lastEventId`, or starts if that is
 * undefined. `onFirstEvent` is called before the first event of this answer is passed on, with the software version of
 * the server that wrote it.
 */
export function createStreamProgress(
  clock: Pick<Clock, 'monotonicMs'>,
  lastEventId: string | undefined,
  onFirstEvent: (softwareVersion: string | undefined) => void,
): StreamProgress {
  let events = 0;
  let lastEventAtMs: number | undefined;
  let longestPauseMs = 0;
  let lastId = lastEventId;
  let version: string | undefined;
  let hasBegun = false;

  const recordAny = (): void => {
    const nowMs = clock.monotonicMs();
    longestPauseMs = Math.max(longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
    lastEventAtMs = nowMs;
    events += 1;
  };

  return {
    get events() {
      return events;
    },
    get lastEventId() {
      return lastId;
    },
    get softwareVersion() {
      return version;
    },
    get longestPauseMs() {
      return longestPauseMs;
    },
    recordEvent(eventId, softwareVersion) {
      if (!hasBegun) onFirstEvent(softwareVersion);
      hasBegun = true;
      recordAny();
      lastId = eventId ?? lastId;
      version = softwareVersion;
    },
    recordComment: recordAny,
  };
}
