import { createHoldingRoom } from '../held-bytes';
import type { HoldingRoom } from '../held-bytes';

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
/** Bytes that an instance may hold of all answers together, without small parts. */
const MAX_HELD_BYTES = 67_108_864;
/** Bytes that may be held of one answer at any time. */
const SMALL_PART_BYTES = 65_536;

/** Creates the room of an instance for parts of answers. */
export function createAnswerRoom(): HoldingRoom {
  return createHoldingRoom({
    totalBytes: MAX_HELD_BYTES,
    largestBytes: MAX_EVENT_BYTES,
    smallBytes: SMALL_PART_BYTES,
    afterwards: queueMicrotask,
  });
}
