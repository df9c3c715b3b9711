import { planStop } from './plan-stop';
import type { StopStep } from './plan-stop';

/** Progress of a planned stop. */
export interface StopState {
  begin(): void;
  /** Returns whether a stop has begun. */
  isLeaving(): boolean;
  /** Returns whether new requests are refused because too little time remains to answer them. */
  isRefusing(): boolean;
  step(): StopStep;
}

/** Options of {@link createStopState}. */
export interface StopStateOptions {
  readonly nowMs: () => number;
  /** Time between the signal to stop and the moment at which the process is killed, ms. */
  readonly stopWithinMs: () => number;
  readonly openRequests: () => number;
}

/** Creates the state of an instance for which no stop has begun. */
export function createStopState({
  nowMs,
  stopWithinMs,
  openRequests,
}: StopStateOptions): StopState {
  let begunAtMs: number | undefined;
  const isLeaving = () => begunAtMs !== undefined;
  const step = () =>
    planStop({
      sinceSignalMs: nowMs() - (begunAtMs ?? nowMs()),
      stopWithinMs: stopWithinMs(),
      openRequests: openRequests(),
    });
  return {
    begin() {
      begunAtMs ??= nowMs();
    },
    isLeaving,
    isRefusing: () => isLeaving() && step() !== 'serve',
    step,
  };
}
