import type { Clock } from '../clock';

/** Progress of a stream that is passed on, across all servers that served a part of it. */
export interface StreamProgress {
  readonly lastEventId: string | undefined;
  /**
   * Software version of the server that wrote the latest event; undefined before the first event, and if another instance
   * does not state it.
   */
  readonly softwareVersion: string | undefined;
  readonly events: number;
  /** Maximum pause between two events so far, across all servers, ms. */
  readonly longestPauseMs: number;
  /** Records an event that has been passed on, and the software version of the server that wrote it. */
  recordEvent(eventId: string | undefined, softwareVersion: string | undefined): void;
}

/**
 * Creates the progress of a stream that resumes after the event `lastEventId`, or starts if that is
 * undefined.
 */
export function createStreamProgress(
  clock: Pick<Clock, 'monotonicMs'>,
  lastEventId: string | undefined,
): StreamProgress {
  let events = 0;
  let lastEventAtMs: number | undefined;
  let longestPauseMs = 0;
  let lastId = lastEventId;
  let version: string | undefined;
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
      const nowMs = clock.monotonicMs();
      longestPauseMs = Math.max(longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
      lastEventAtMs = nowMs;
      events += 1;
      lastId = eventId ?? lastId;
      version = softwareVersion;
    },
  };
}
