/** Inputs of an admission decision. All times are on the clock of `nowMs`. */
export interface AdmissionInput {
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  /** Expected wait until the request's turn, from the work ahead of it and the rate at which work is done, ms. */
  readonly expectedWaitMs: number;
  /** Expected time from start to end for requests of its size, ms. */
  readonly expectedServiceMs: number;
  /** Whether the queue is a standing queue, that is, the overload lasts. */
  readonly isQueueStanding: boolean;
  /** Maximum expected wait to admit while the queue is standing, ms. */
  readonly standingWaitMs: number;
}

/** Whether a request that cannot start at once may wait for its turn. */
export type AdmissionDecision =
  | { readonly kind: 'wait'; readonly latestStartAtMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: 'deadline-too-near' | 'wait-outlasts-deadline' | 'standing-queue';
      /** Excess of the expected wait over the permitted one, ms. */
      readonly excessMs: number;
    };

/**
 * Share of the time until the latest start that the expected wait may take. Estimates are inexact, and a request
 * that is admitted and then misses its deadline has wasted server time, its caller's time and another request's
 * turn.
 */
const USABLE_WAIT_SHARE = 0.8;

/** Factor on the expected duration. Even where the estimate is off, most requests end within the product. */
const SERVICE_MARGIN = 1.25;

/**
 * Decides on a request when it arrives. If its wait would outlast its deadline, it is refused now, while its caller
 * still has time to react, and never held until the deadline is near.
 *
 * Without this, a queue accepts everything during bursts and saturation. At 1.5 times the capacity, each request
 * then waits until its deadline and fails. After minutes no request is answered in time any more, and callers find
 * out by timeout.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const latestStartAtMs = input.deadlineAtMs - SERVICE_MARGIN * input.expectedServiceMs;
  const slackMs = latestStartAtMs - input.nowMs;
  if (slackMs < 0) return { kind: 'refuse', reason: 'deadline-too-near', excessMs: 0 };
  const usableMs = slackMs * USABLE_WAIT_SHARE;
  if (input.expectedWaitMs > usableMs) {
    const excessMs = input.expectedWaitMs - usableMs;
    return { kind: 'refuse', reason: 'wait-outlasts-deadline', excessMs };
  }
  if (input.isQueueStanding && input.expectedWaitMs > input.standingWaitMs) {
    const excessMs = input.expectedWaitMs - input.standingWaitMs;
    return { kind: 'refuse', reason: 'standing-queue', excessMs };
  }
  return { kind: 'wait', latestStartAtMs };
}
