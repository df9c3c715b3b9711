/** Bounds that all instances keep together without asking one another for each request. */
export { createColdGate } from './cold-gate';
export type { ColdGate } from './cold-gate';
export { createRetryAllowance } from './retry-budget';
export type { FleetRetryBudget, RetryAllowance } from './retry-budget';
