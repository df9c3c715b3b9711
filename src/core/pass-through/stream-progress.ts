import type { Clock } from '../clock';
import { readEventId } from './read-event-id';

/** Progress of a stream that is passed on, across all servers that served a part of it. */
export interface StreamProgress {
  readonly lastEventId: string | undefined;
  /**
   * Software version of the server that wrote the latest event; undefined before the first event, and if another instance
   * does not state it.
   */
  readonly softwareVersion: string | undefined;
  /** Whether another server can be told where to go on: the last event that has been passed on has an id, or there is none. */
  readonly hasPlace: boolean;
  /** Number of events that have been passed on, comments included. */
  readonly events: number;
  /** Maximum pause between two events so far, across all servers, ms. */
  readonly longestPauseMs: number;
  /** Records an event without data and id that has been passed on; it is the same whichever server wrote it. */
  recordComment(): void;
  /** Returns the place of an attempt that begins to go on after the last event. */
  openPosition(): StreamPosition;
  /** Keeps the events that are passed on from now on, up to a number of bytes, so that others can be compared with them. */
  keepEvents(): void;
  forgetEvents(): void;
}

/** What an event of an attempt is. */
export type TakenEvent =
  | 'new'
  /** The caller has this event, with the same bytes. */
  | 'passedOn'
  /** The caller has another event in its place, or it is no longer known, or the attempt has not gone on after the last one. */
  | 'different';

/** Place of one attempt in a stream that several attempts may write; comments have no place. */
export interface StreamPosition {
  readonly progress: StreamProgress;
  /** Takes the next event of the attempt. One that is new is recorded, and must be passed on. */
  take(event: Buffer, softwareVersion: string | undefined): TakenEvent;
  /** Whether the attempt has written all events that the caller has. */
  isAtEnd(): boolean;
}

const WHOLE_NUMBER = /^\d{1,15}$/;

/** Returns whether a stream that goes on after `lastId` must not go on with `id`; only numbers show that. */
function isRepeated(id: string, lastId: string): boolean {
  return WHOLE_NUMBER.test(id) && WHOLE_NUMBER.test(lastId) && Number(id) <= Number(lastId);
}

/** Maximum size of the events that are kept, bytes. */
const MAX_KEPT_BYTES = 65_536;

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
  let hasPlace = true;
  let version: string | undefined;
  /** Number of events that have been passed on, without comments. */
  let places = 0;
  /** Events by their place; undefined if none are kept. */
  let kept: Map<number, Buffer> | undefined;
  let keptBytes = 0;

  const recordAny = (): void => {
    const nowMs = clock.monotonicMs();
    longestPauseMs = Math.max(longestPauseMs, nowMs - (lastEventAtMs ?? nowMs));
    lastEventAtMs = nowMs;
    events += 1;
  };

  const recordEvent = (event: Buffer, softwareVersion: string | undefined): void => {
    if (places === 0) onFirstEvent(softwareVersion);
    recordAny();
    const id = readEventId(event);
    hasPlace = id !== undefined && id !== '';
    lastId = id ?? lastId;
    version = softwareVersion;
    keptBytes += event.length;
    if (keptBytes > MAX_KEPT_BYTES) kept = undefined;
    kept?.set(places, Buffer.from(event));
    places += 1;
  };

  const progress: StreamProgress = {
    get events() {
      return events;
    },
    get lastEventId() {
      return lastId;
    },
    get hasPlace() {
      return hasPlace;
    },
    get softwareVersion() {
      return version;
    },
    get longestPauseMs() {
      return longestPauseMs;
    },
    recordComment: recordAny,
    openPosition() {
      let next = places;
      /** Id after which the attempt goes on; undefined once it has, and if it writes the stream from its beginning. */
      let goesOnAfterId = places === 0 ? undefined : lastId;
      return {
        progress,
        take(event, softwareVersion) {
          const id = readEventId(event);
          if (goesOnAfterId !== undefined && id !== undefined) {
            if (isRepeated(id, goesOnAfterId)) return 'different';
            goesOnAfterId = undefined;
          }
          const isNew = next === places;
          const known = kept?.get(next);
          next += 1;
          if (isNew) {
            recordEvent(event, softwareVersion);
            return 'new';
          }
          const isSame = known?.equals(event) === true && id !== undefined;
          return isSame ? 'passedOn' : 'different';
        },
        isAtEnd: () => next === places,
      };
    },
    keepEvents() {
      if (kept !== undefined) return;
      kept = new Map();
      keptBytes = 0;
    },
    forgetEvents() {
      kept = undefined;
    },
  };
  return progress;
}
