/** What a stopping instance does at a moment. */
export type StopStep = 'serve' | 'refuse' | 'exit';

/** What the step depends on. */
export interface StopInput {
  /** Time since the signal to stop, ms. */
  readonly sinceSignalMs: number;
  /** Time between the signal and the end by force, ms. */
  readonly stopWithinMs: number;
  readonly openRequests: number;
}

/**
 * Part of the time in which requests are still served: callers learn seconds late that an instance is leaving,
 * and one that closed at once would refuse what they send until then. What comes later might not be finished.
 */
const SERVE_SHARE = 0.36;
/** Part of the time after which open requests are cut rather than being cut by force in the midst of a write. */
const CUT_SHARE = 0.93;

/** Decides how a planned stop goes on. */
export function planStop({ sinceSignalMs, stopWithinMs, openRequests }: StopInput): StopStep {
  if (sinceSignalMs >= stopWithinMs * CUT_SHARE) return 'exit';
  if (sinceSignalMs < stopWithinMs * SERVE_SHARE) return 'serve';
  return openRequests === 0 ? 'exit' : 'refuse';
}
