/** Time as the rest of the code sees it. Decisions never read a clock themselves; they are handed `nowMs`. */

/** A source of time and of wake-ups. Tests hand in one that they move by hand. */
export interface Clock {
  /** Milliseconds on a clock that never goes back and knows nothing of the date. All deadlines use it. */
  monotonicMs(): number;
  /** Milliseconds since 1970, for what leaves the process: answers, logs, certificates. */
  unixMs(): number;
  /** Calls back once `monotonicMs()` has reached `atMs`; disposing of the result cancels the call. */
  schedule(atMs: number, callback: () => void): Disposable;
}

/** Resolves when the clock reaches `atMs`, or at once when `signal` aborts; never rejects. */
export function sleepUntil(clock: Clock, atMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const timer = clock.schedule(atMs, () => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- assigned before any call
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    const onAbort = () => {
      timer[Symbol.dispose]();
      resolve();
    };
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}
