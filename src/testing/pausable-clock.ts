import type { Clock } from '../core/clock';

/** The clock of a process that can be stopped and woken: time goes on, but none of its timers run meanwhile. */
export interface PausableClock extends Clock {
  pause(): void;
  resume(): void;
}

/** Wraps the clock that all processes of a test share. */
export function createPausableClock(clock: Clock): PausableClock {
  const held: (() => void)[] = [];
  let paused = false;
  return {
    monotonicMs: () => clock.monotonicMs(),
    unixMs: () => clock.unixMs(),
    schedule: (atMs, callback) =>
      clock.schedule(atMs, () => {
        if (paused) held.push(callback);
        else callback();
      }),
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      for (const callback of held.splice(0)) callback();
    },
  };
}
