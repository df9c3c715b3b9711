import type { Clock } from '../../src/core/clock';
import type { FakeClock } from '../../src/testing/fake-clock';

/**
 * A process of the searched world. What happens to it (timers, messages) reaches it through here, so that it
 * can be paused, as by SIGSTOP, and killed between any two of its steps.
 */
export interface SimProcess {
  readonly name: string;
  readonly region: string;
  readonly incarnation: number;
  readonly alive: boolean;
  /** The process's own clock; while it is paused nothing that was scheduled on it happens. */
  readonly clock: Clock;
  /** Hands something to the process: now, on waking, or never. */
  deliver(event: () => void): void;
  pause(): void;
  resume(): void;
  kill(): void;
}

/** Stops a process for a while, as by SIGSTOP and SIGCONT. */
export function sleep(world: FakeClock, process: SimProcess, forMs: number): void {
  process.pause();
  world.schedule(world.monotonicMs() + forMs, () => process.resume());
}

/** A running process. */
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
