import type { Clock } from '../core/clock';
import { FAKE_EPOCH_UNIX_MS } from './fake-clock';

/** A clock for simulations with many timers. */
export interface SteppedClock {
  readonly clock: Clock;
  /** Moves to a time, which is a multiple of the step, and runs what is due then. */
  advanceTo(atMs: number): void;
}

/** Creates a clock that moves in steps. A scheduled callback runs at the first step at or after its time. */
export function createSteppedClock(stepMs: number): SteppedClock {
  let atMs = 0;
  const due = new Map<number, { run: (() => void) | undefined }[]>();
  const clock: Clock = {
    monotonicMs: () => atMs,
    unixMs: () => FAKE_EPOCH_UNIX_MS + atMs,
    schedule(dueAtMs, callback) {
      const step = Math.max(atMs + stepMs, Math.ceil(dueAtMs / stepMs) * stepMs);
      const task: { run: (() => void) | undefined } = { run: callback };
      const tasks = due.get(step) ?? [];
      tasks.push(task);
      due.set(step, tasks);
      return {
        [Symbol.dispose]() {
          task.run = undefined;
        },
      };
    },
  };
  const advanceTo = (nextMs: number): void => {
    atMs = nextMs;
    const tasks = due.get(nextMs) ?? [];
    due.delete(nextMs);
    for (const { run } of tasks) run?.();
  };
  return { clock, advanceTo };
}
