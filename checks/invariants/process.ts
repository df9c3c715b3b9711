import type { Clock } from '../../src/core/clock';
import type { FakeClock } from '../../src/testing/fake-clock';

/**
 * A simulated process. Its timers and messages are delivered through this object, so that it can be paused, as by SIGSTOP,
 * and killed between any two steps.
 */
export interface SimProcess {
  readonly name: string;
  readonly region: string;
  readonly incarnation: number;
  readonly alive: boolean;
  /** Clock of the process; its callbacks wait while the process is paused. */
  readonly clock: Clock;
  /** Runs a task in the process: now, after its pause, or never. */
  deliver(event: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
}

/** Pauses a process for a time, as by SIGSTOP and SIGCONT. */
export function sleep(world: FakeClock, process: SimProcess, forMs: number): void {
  process.pause();
  world.schedule(world.monotonicMs() + forMs, () => process.resume());
}

/** Creates a running process. */
export function createSimProcess(
  world: FakeClock,
  name: string,
  region: string,
  incarnation: number,
): SimProcess {
  let alive = true;
  let paused = false;
  let waiting: (() => void)[] = [];

  const deliver = (event: () => void): void => {
    if (!alive) return;
    if (paused) waiting.push(event);
    else event();
  };

  return {
    name,
    region,
    incarnation,
    get alive() {
      return alive;
    },
    clock: {
      monotonicMs: () => world.monotonicMs(),
      unixMs: () => world.unixMs(),
      schedule(atMs, callback) {
        let cancelled = false;
        const timer = world.schedule(atMs, () =>
          deliver(() => {
            if (!cancelled) callback();
          }),
        );
        return {
          [Symbol.dispose]() {
            cancelled = true;
            timer[Symbol.dispose]();
          },
        };
      },
    },
    deliver,
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      const due = waiting;
      waiting = [];
      for (const event of due) deliver(event);
    },
    kill() {
      alive = false;
      waiting = [];
    },
  };
}
