import type { Clock } from '../clock';

/** One tick, with when it was due and when the next one is, monotonic ms. */
export type OnTick = (dueAtMs: number, nextDueAtMs: number) => void;

/** Calls back at fixed times; one that is late is not made up for. */
export function startTicks(clock: Clock, everyMs: number, onTick: OnTick): Disposable {
  let timer: Disposable;
  const arm = (dueAtMs: number): void => {
    timer = clock.schedule(dueAtMs, () => {
      const nextDueAtMs = clock.monotonicMs() + everyMs;
      onTick(dueAtMs, nextDueAtMs);
      arm(nextDueAtMs);
    });
  };
  arm(clock.monotonicMs() + everyMs);
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
