/** What an admission decision rests on. All times are on the clock that `nowMs` is of. */
export interface AdmissionInput {
  readonly nowMs: number;
  readonly deadlineAtMs: number;
  /** Wait until the request's turn, by what waits before it and how fast it goes, ms. */
  readonly expectedWaitMs: number;
  /** From its start to its end, by requests of its size, ms. */
  readonly expectedServiceMs: number;
  /** Whether the queue is a standing one. */
  readonly isQueueStanding: boolean;
  /** Longest wait that is granted while it is, ms. */
  readonly standingWaitMs: number;
}

/** Whether a request that cannot begin at once may wait for its turn. */
export type AdmissionDecision =
  | { readonly kind: 'wait'; readonly latestStartAtMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: 'deadline-too-near' | 'wait-outlasts-deadline' | 'standing-queue';
      /** By how much the expected wait is too long, ms. */
      readonly excessMs: number;
    };

/**
 * Share of the time until the latest start that the expected wait may take. Estimates err, and a request that
 * is admitted and then misses its deadline has cost a server's time, its caller's patience and somebody
 * else's place.
 */
const USABLE_WAIT_SHARE = 0.8;

/** Where the expected duration is off, most requests still end in time with this much more of it. */
const SERVICE_MARGIN = 1.25;

/**
 * Decides at once, on arrival: a request whose wait would outlast its deadline is refused now, while its caller
 * still has the time to do something else, and never held until the deadline is near.
 *
 * It answers bursts and saturation. Without it a queue takes in all that comes; under 1.5 times the capacity
 * each request then waits until its deadline and fails, after minutes nothing is answered in time any more,
 * and callers find out by timeout.
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
