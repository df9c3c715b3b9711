import type { Evidence } from '../outcomes';
import type { RefusalDefinition } from '../refusals';

/** A failed attempt and everything that the retry decision depends on. */
export interface FailedAttempt {
  /** Number of attempts so far, including this one. */
  readonly tries: number;
  /** Number of those attempts that may have run. */
  readonly triesThatMayHaveRun: number;
  readonly refusal: RefusalDefinition;
  readonly evidence: Evidence;
  readonly isRepeatable: boolean;
  /** Whether part of an answer was already sent to the caller. */
  readonly headSent: boolean;
  readonly callerGone: boolean;
  /** Whether a peer forwarded the request; only the instance that received it from the caller retries it. */
  readonly isForwarded: boolean;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
}

/** Reason why a request is not retried. */
export type GiveUpReason =
  | 'head sent'
  | 'caller gone'
  | 'forwarded'
  | 'not repeatable'
  | 'refusal is final'
  | 'may have run twice'
  | 'tries used up'
  | 'deadline too near'
  | 'budget empty';

/** Whether and when a request is retried. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly atMs: number;
      readonly reason: 'did not run' | 'may have run';
    }
  | { readonly kind: 'giveUp'; readonly reason: GiveUpReason };
