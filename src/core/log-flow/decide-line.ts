import type { EventLevel } from '../events';

/** Bytes that may wait for a slow reader; some three thousand lines, a small part of a small instance's memory. */
const MAX_WAITING_BYTES = 1_048_576;
/** Bytes above which lines about what went well are left out, so that the rest stays for what went wrong. */
const WAITING_BYTES_FOR_ALL = 524_288;

/**
 * Whether a line is written while `waitingBytes` have not been read yet.
 *
 * Answers a reader that is slow or has stopped while requests go on. Waiting for it would stop the instance, and
 * keeping all lines would fill its memory. Lines about failures are kept longest, since they are what somebody looks
 * for afterwards.
 */
export function decideLine(level: EventLevel, waitingBytes: number): 'write' | 'drop' {
  const isFailure = level === 'error' || level === 'warn';
  const maxBytes = isFailure ? MAX_WAITING_BYTES : WAITING_BYTES_FOR_ALL;
  return waitingBytes < maxBytes ? 'write' : 'drop';
}
