/**
 * The load-scenario harness: seeded fakes of servers, instances and callers on a virtual clock.
 * `runScenario(scenario, policyFactory)` returns what callers got; see `types.ts` for writing either.
 */
export { fifoWithFixedLimit, leastInFlight, roundRobin, unboundedRetries } from './baselines';
export { answersPerSecondBetween } from './recorder';
export { classOf } from './results';
export type { ClassResult, Quantiles, RunResult } from './results';
export { runScenario } from './run-scenario';
export type * from './types';
