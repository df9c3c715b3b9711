import type { Clock } from '../clock';
import { REFUSALS, RefusalError } from '../refusals';

/** Bounds how many requests one instance holds at once, whatever they wait for. */
export interface RequestSlots {
  /** Takes a slot until disposed of; throws `overloaded` when there is none. */
  take(): Disposable;
}

/** A second is long against the time that most requests hold a slot, and short for a caller that waits. */
const RETRY_AFTER_MS = 1_000;

/** Slots for `most` requests. Without a bound, callers that wait would use up the instance's memory. */
export function createRequestSlots(most: number, clock: Clock): RequestSlots {
  let taken = 0;
  return {
    take() {
      if (taken >= most) {
        throw new RefusalError(REFUSALS.overloaded, {
          detail: `This instance holds ${most} requests, which is all it takes.`,
          step: 'take-slot',
          evidence: { kind: 'neverSent' },
          retryAtUnixMs: clock.unixMs() + RETRY_AFTER_MS,
        });
      }
      taken += 1;
      return {
        [Symbol.dispose]() {
          taken -= 1;
        },
      };
    },
  };
}
