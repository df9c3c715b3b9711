/** Limits that hold for all instances together without messages for each request. */
export { createColdServerLimiter } from './cold-server-limiter';
export type { ColdServerLimiter } from './cold-server-limiter';
export { createRetryAllowance } from './retry-budget';
export type { FleetRetryBudget, RetryAllowance } from './retry-budget';
