import type { Clock } from '../clock';

/** Called on each tick with the time at which it was due and the time at which the next one is due, monotonic ms. */
export type OnTick = (dueAtMs: number, nextDueAtMs: number) => void;

/** Calls back at a fixed interval; a late tick delays all following ones, and missed ticks are skipped. */
export function startTicks(clock: Clock, intervalMs: number, onTick: OnTick): Disposable {
  let timer: Disposable;
  const scheduleTick = (dueAtMs: number): void => {
    timer = clock.schedule(dueAtMs, () => {
      const nextDueAtMs = clock.monotonicMs() + intervalMs;
      onTick(dueAtMs, nextDueAtMs);
      scheduleTick(nextDueAtMs);
    });
  };
  scheduleTick(clock.monotonicMs() + intervalMs);
  return { [Symbol.dispose]: () => timer[Symbol.dispose]() };
}
