import type { Clock } from '../core/clock';

/** A clock that can be made to jump, as the monotonic clock does for a process that stood still. */
export interface ShiftableClock extends Clock {
  jumpBy(byMs: number): void;
}

/** Wraps `clock`; its timers keep their real delays, so that a jump makes them late. */
export function createShiftableClock(clock: Clock): ShiftableClock {
  let shiftMs = 0;
  return {
    monotonicMs: () => clock.monotonicMs() + shiftMs,
    unixMs: () => clock.unixMs(),
    schedule: (atMs, callback) => clock.schedule(atMs - shiftMs, callback),
    jumpBy(byMs) {
      shiftMs += byMs;
    },
  };
}
