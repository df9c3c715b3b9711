import type { Evidence } from '../outcomes';
import type { RefusalDefinition } from '../refusals';

/** A try that brought no answer, and all that decides about another. */
export interface FailedTry {
  /** Tries made so far, this one included. */
  readonly tries: number;
  /** Those of them that may have run. */
  readonly triesThatMayHaveRun: number;
  readonly refusal: RefusalDefinition;
  readonly evidence: Evidence;
  readonly isRepeatable: boolean;
  /** Whether part of an answer has gone to the caller already. */
  readonly headSent: boolean;
  readonly callerGone: boolean;
  /** Forwarded requests are retried by the instance that the caller asked, and nowhere else. */
  readonly isForwarded: boolean;
  readonly nowMs: number;
  readonly deadlineAtMs: number;
}

/** Why a request gets no further try. */
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

/** Whether and when to try again. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly atMs: number;
      readonly reason: 'did not run' | 'may have run';
    }
  | { readonly kind: 'giveUp'; readonly reason: GiveUpReason };
