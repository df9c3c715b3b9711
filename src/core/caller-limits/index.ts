/** Limits on the requests of a caller, over all instances. */
export { createCallerLimiter } from './caller-limiter';
export type { CallerLimiter, CallerLimiterOptions } from './caller-limiter';
export { createCallerLimits } from './caller-limits';
export type { CallerLimits } from './caller-limits';
export { CALLER_LIMIT_EVENTS } from './events';
export { createOthersDemand } from './others-demand';
export type { OthersDemand } from './others-demand';
export type { AccountLimit, LimitDecision } from './types';
