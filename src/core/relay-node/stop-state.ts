import { planStop } from './plan-stop';
import type { StopStep } from './plan-stop';

/** How far a planned stop has come. */
export interface StopState {
  begin(): void;
  /** Whether a stop has begun. */
  isLeaving(): boolean;
  /** Whether new requests are refused, because there is not enough time left to answer them. */
  isRefusing(): boolean;
  step(): StopStep;
}

/** What the state is made from. */
export interface StopStateOptions {
  readonly nowMs: () => number;
  /** Time between the signal to stop and the end by force, ms. */
  readonly stopWithinMs: () => number;
  readonly openRequests: () => number;
}

/** The state of an instance that nobody has asked to stop. */
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
