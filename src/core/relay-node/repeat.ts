import { sleepUntil } from '../clock';
import type { Clock } from '../clock';

/** Runs `action` at once and then at an interval until disposed. */
export function repeat(clock: Clock, intervalMs: number, action: () => void): Disposable {
  const stopping = new AbortController();
  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      action();
      await sleepUntil(clock, clock.monotonicMs() + intervalMs, stopping.signal);
    }
  };
  void run();
  return { [Symbol.dispose]: () => stopping.abort() };
}
