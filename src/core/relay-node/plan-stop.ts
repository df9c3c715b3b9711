/** Step of a planned stop: serve new requests, refuse them, or exit. */
export type StopStep = 'serve' | 'refuse' | 'exit';

/** Input of {@link planStop}. */
export interface StopInput {
  /** Time since the signal to stop, ms. */
  readonly sinceSignalMs: number;
  /** Time between the signal and the moment at which the process is killed, ms. */
  readonly stopWithinMs: number;
  readonly openRequests: number;
}

/**
 * Fraction of the stop time in which new requests are still served. Callers learn only after some seconds that an
 * instance is leaving; closing at once would refuse what they send until then. Requests that arrive later might not
 * finish in time.
 */
const SERVE_FRACTION = 0.36;
/** Fraction of the stop time after which the instance exits by itself, so that it is not killed during a write. */
const EXIT_FRACTION = 0.93;

/** Returns the current step of a planned stop. */
export function planStop({ sinceSignalMs, stopWithinMs, openRequests }: StopInput): StopStep {
  if (sinceSignalMs >= stopWithinMs * EXIT_FRACTION) return 'exit';
  if (sinceSignalMs < stopWithinMs * SERVE_FRACTION) return 'serve';
  return openRequests === 0 ? 'exit' : 'refuse';
}
