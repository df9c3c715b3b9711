import { sleepUntil } from '../clock';
import type { Clock } from '../clock';

/** Does something at once and then again and again, with a rest in between, until it is disposed of. */
export function repeat(clock: Clock, restMs: number, action: () => void): Disposable {
  const stopping = new AbortController();
  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      action();
      await sleepUntil(clock, clock.monotonicMs() + restMs, stopping.signal);
    }
  };
  void run();
  return { [Symbol.dispose]: () => stopping.abort() };
}
