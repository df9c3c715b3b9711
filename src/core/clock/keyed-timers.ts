import type { Clock } from './clock';

/** Timers of which there is one a key at most. */
export interface KeyedTimers extends Disposable {
  /** Runs `task` at a monotonic time, in place of what was to run for the key. */
  set(key: string, atMs: number, task: () => void): void;
  cancel(key: string): void;
  has(key: string): boolean;
}

/** No timers yet; those that are left are cancelled with the whole. */
export function createKeyedTimers(clock: Clock): KeyedTimers {
  const timers = new Map<string, Disposable>();

  const cancel = (key: string): void => {
    timers.get(key)?.[Symbol.dispose]();
    timers.delete(key);
  };

  return {
    set(key, atMs, task) {
      cancel(key);
      const timer = clock.schedule(atMs, () => {
        timers.delete(key);
        task();
      });
      timers.set(key, timer);
    },
    cancel,
    has: (key) => timers.has(key),
    [Symbol.dispose]() {
      for (const key of [...timers.keys()]) cancel(key);
    },
  };
}
