/** Decides whether a failed request is retried. */
export { decideRetry } from './decide-retry';
export { RETRY_EVENTS } from './events';
export { isRepeatable } from './repeatable';
export type { RepeatableInput } from './repeatable';
export { createRetryBudget } from './retry-budget';
export type { RetryBudget } from './retry-budget';
export type { FailedAttempt, GiveUpReason, RetryDecision } from './types';
