import type { Clock } from './clock';

/** A signal that aborts at a time, or before that when its parent does. */
export interface DeadlineSignal extends Disposable {
  readonly signal: AbortSignal;
}

/**
 * A signal for one call; disposing of it ends its timer.
 *
 * The platform's own `AbortSignal.any` with `AbortSignal.timeout` holds its timer weakly: the garbage collector may
 * take it away before it fires, and a call that nobody answers then never ends. Here the clock holds the timer.
 */
export function createDeadlineSignal(
  clock: Clock,
  parent: AbortSignal,
  atMs: number,
): DeadlineSignal {
  const controller = new AbortController();
  const abort = () => controller.abort(new Error('The time for the call is over.'));
  const timer = clock.schedule(atMs, abort);
  parent.addEventListener('abort', abort, { once: true });
  if (parent.aborted) abort();
  return {
    signal: controller.signal,
    [Symbol.dispose]() {
      timer[Symbol.dispose]();
      parent.removeEventListener('abort', abort);
    },
  };
}
