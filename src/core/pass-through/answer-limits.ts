import { createHoldingRoom } from '../held-bytes';
import type { HoldingRoom } from '../held-bytes';
import type { RequestPlan } from './types';

/** Maximum size of one event of a stream, bytes. */
export const MAX_EVENT_BYTES = 8_388_608;
/** Maximum bytes of comments between two events that a caller can use; a keep-alive comment takes some tens of bytes. */
export const MAX_COMMENT_BYTES = 1_048_576;
/** Maximum size of a failure that does not state its length, bytes; it is held until it is whole. */
export const MAX_UNSTATED_FAILURE_BYTES = 2_097_152;
/** Maximum length that a failure may state, bytes. One that states more counts as one that states none. */
export const MAX_STATED_FAILURE_BYTES = 134_217_728;
/** Time after the head in which a failure that does not state its length has to be whole, ms. */
export const FAILURE_BODY_TIMEOUT_MS = 2_000;
/** Bytes that may be held of one answer at any time. */
const SMALL_PART_BYTES = 65_536;
/** Size from which an event must be whole before its caller abandons the stream, bytes; usual events are far smaller. */
export const LARGE_EVENT_BYTES = SMALL_PART_BYTES;
/** Minimum pause between two events after which callers abandon a stream, ms. */
const MIN_ABANDON_MS = 2_000;
const OBJECTIVES_UNTIL_ABANDONED = 4;
const PAUSES_UNTIL_ABANDONED = 8;
/** Time in which the last event reaches the caller, and the close of its connection this instance, ms. */
const ABANDON_DELAY_MS = 500;

/** Returns the pause between two events after which callers have abandoned a stream, ms. It follows from what the route aims at. */
export function abandonedAfterMs({
  objectiveMs,
  pauseObjectiveMs = 0,
}: Pick<RequestPlan, 'objectiveMs' | 'pauseObjectiveMs'>): number {
  const longestPauseMs = Math.max(
    MIN_ABANDON_MS,
    OBJECTIVES_UNTIL_ABANDONED * objectiveMs,
    PAUSES_UNTIL_ABANDONED * pauseObjectiveMs,
  );
  return longestPauseMs + ABANDON_DELAY_MS;
}

/** Creates the room of an instance for parts of answers, which may take `totalBytes` together, without small parts. */
export function createAnswerRoom(totalBytes: number): HoldingRoom {
  return createHoldingRoom({
    totalBytes,
    largestBytes: MAX_EVENT_BYTES,
    smallBytes: SMALL_PART_BYTES,
    afterwards: queueMicrotask,
  });
}
