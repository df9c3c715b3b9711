import type { AssertionFailure } from '../core/failed-assertions';

/**
 * Stands in for the runtime's `assert` in the bundle.
 *
 * To say which expression was false, the runtime reads and parses the source around a failed assertion. In the long lines of
 * a bundle that occupies the event loop for up to minutes, and whoever can make an assertion of a library fail can stop the
 * process with it. Here, the place of the call says it instead.
 */

class AssertionError extends Error {
  readonly code = 'ERR_ASSERTION';

  constructor(message: string) {
    super(message);
    this.name = 'AssertionError';
  }
}

/** Line of a stack trace that holds the caller of the assertion: after the message and the assertion itself. */
const PLACE_AT_LINE = 1;

let onFailure: (failure: AssertionFailure) => void = () => {};

/** Calls back for each assertion that fails from now on, in place of the listener before. */
export function onFailedAssertion(listener: (failure: AssertionFailure) => void): void {
  onFailure = listener;
}

function placeOf({ stack = '' }: { readonly stack?: string }): string {
  return stack.split('\n')[PLACE_AT_LINE]?.trim() ?? '';
}

/** Throws if the value is falsy. */
export function assert(value: unknown, message?: string | Error): asserts value {
  if (value) return;
  if (message instanceof Error) throw message;
  const caller: { stack?: string } = {};
  Error.captureStackTrace(caller, assert);
  const place = placeOf(caller);
  const text = message ?? `an assertion failed ${place}`;
  onFailure({ message: text, place });
  throw new AssertionError(text);
}
