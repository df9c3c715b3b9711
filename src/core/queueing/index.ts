/** The order in which waiting requests run, and which of them leave the queue before they run. */
export { createFairQueue } from './fair-queue';
export type { FairQueueOptions } from './fair-queue';
export { createStandingQueueDetector } from './standing-queue';
export type { QueueFlow, StandingQueueDetector, StandingTargets } from './standing-queue';
export type { FairQueue, QueueEntry } from './types';
