/** Limits that hold for all instances together without messages for each request. */
export { createColdGate } from './cold-gate';
export type { ColdGate } from './cold-gate';
export { createRetryAllowance } from './retry-budget';
export type { FleetRetryBudget, RetryAllowance } from './retry-budget';
