import type { Clock } from '../clock';

/** What is passed on of a stream, over all servers that served a part of it. */
export interface StreamProgress {
  readonly lastEventId: string | undefined;
  readonly events: number;
  /** Longest pause between two events so far, over all servers, ms. */
  readonly longestPauseMs: number;
  /** Notes an event that has been passed on. */
  note(eventId: string | undefined): void;
}

/** The progress of a stream that goes on after the event `lastEventId`, or begins where that is undefined. */
export function createStreamProgress(
  clock: Pick<Clock, 'monotonicMs'>,
  lastEventId: string | undefined,
): StreamProgress {
  let events = 0;
  let lastEventAtMs: number | undefined;
  let longestPauseMs = 0;
  let lastId = lastEventId;
  return {
    get events() {
      return events;
    },
    get lastEventId() {
      return lastId;
    },
    get longestPauseMs() {
      return longestPauseMs;
    },
    note(eventId) {
      const nowMs = clock.monotonicMs();
      longestPauseMs = Math.max(longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
      lastEventAtMs = nowMs;
      events += 1;
      lastId = eventId ?? lastId;
    },
  };
}
