import { SEND_BURST_BYTES, SEND_BYTES_PER_SECOND } from './timing';

/**
 * Bounds what an instance sends for the view. Without it a return of a whole region, or a slice that makes
 * statements without measure, would fill the links that requests need; one would notice bytes of control
 * rising with the size of the event. What does not fit waits for a later exchange.
 */
export interface SendBudget {
  /** Bytes that may be sent now. */
  availableBytes(nowMs: number): number;
  spend(bytes: number): void;
}

/** A full budget. */
export function createSendBudget(nowMs: number): SendBudget {
  let savedBytes = SEND_BURST_BYTES;
  let filledAtMs = nowMs;
  return {
    availableBytes(atMs) {
      const earnedBytes = ((atMs - filledAtMs) / 1000) * SEND_BYTES_PER_SECOND;
      savedBytes = Math.min(SEND_BURST_BYTES, savedBytes + earnedBytes);
      filledAtMs = atMs;
      return Math.max(0, savedBytes);
    },
    spend(bytes) {
      savedBytes -= bytes;
    },
  };
}
