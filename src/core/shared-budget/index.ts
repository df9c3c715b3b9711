/** Limits that hold for all instances together, and what several of them are built from. */
export { createAnswerCache } from './answer-cache';
export { refilled, timeUntilPositiveMs, withdraw } from './bucket';
export type { Bucket, BucketRefill } from './bucket';
export { createColdServerLimiter } from './cold-server-limiter';
export type { ColdServerLimiter } from './cold-server-limiter';
export { createCounterSelector } from './counter-selector';
export type { CounterSelector } from './counter-selector';
export { createRegionReports } from './region-reports';
export type { RegionReports, ReportedFact } from './region-reports';
export { createRetryAllowance } from './retry-budget';
export type { FleetRetryBudget, RetryAllowance } from './retry-budget';
export type { CounterPeer } from './types';
