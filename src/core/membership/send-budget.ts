import { SEND_BURST_BYTES, SEND_BYTES_PER_SECOND } from './timing';

/**
 * Limits the bytes that an instance sends for membership. Without it, the return of a whole region or a component that
 * makes too many statements would saturate the network links that requests need, and control traffic would grow with
 * the size of the event. Changes that exceed the budget wait for a later exchange.
 */
export interface SendBudget {
  /** Returns the number of bytes that may be sent now. */
  availableBytes(nowMs: number): number;
  spend(bytes: number): void;
}

/** Creates a budget that is full at `nowMs`. */
export function createSendBudget(nowMs: number): SendBudget {
  let storedBytes = SEND_BURST_BYTES;
  let refilledAtMs = nowMs;
  return {
    availableBytes(atMs) {
      const refilledBytes = ((atMs - refilledAtMs) / 1000) * SEND_BYTES_PER_SECOND;
      storedBytes = Math.min(SEND_BURST_BYTES, storedBytes + refilledBytes);
      refilledAtMs = atMs;
      return Math.max(0, storedBytes);
    },
    spend(bytes) {
      storedBytes -= bytes;
    },
  };
}
