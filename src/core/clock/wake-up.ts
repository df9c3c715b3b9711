import type { Clock } from './clock';

/** Lets one task rest until a time, or until something wakes it before. */
export interface WakeUp {
  /** Resolves at `atMs`, when woken, or when `signal` aborts; at once when it was woken since the last rest. */
  restUntil(atMs: number, signal: AbortSignal): Promise<void>;
  /** Ends the rest, or the next one if the task is at work. */
  wake(): void;
}

/** A wake-up for one task. */
export function createWakeUp(clock: Clock): WakeUp {
  let isWoken = false;
  let endRest: (() => void) | undefined;

  const rest = (atMs: number, signal: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const end = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
        timer[Symbol.dispose]();
        signal.removeEventListener('abort', end);
        endRest = undefined;
        resolve();
      };
      const timer = clock.schedule(atMs, end);
      signal.addEventListener('abort', end, { once: true });
      endRest = end;
    });

  return {
    async restUntil(atMs, signal) {
      if (!isWoken && !signal.aborted) await rest(atMs, signal);
      isWoken = false;
    },
    wake() {
      isWoken = true;
      endRest?.();
    },
  };
}
