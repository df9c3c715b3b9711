/** Admission decisions and limits on the work in flight. */
export { createAdaptiveLimit, INITIAL_LIMIT_REQUESTS } from './adaptive-limit';
export type { AdaptiveLimitOptions } from './adaptive-limit';
export { decideAdmission } from './decide-admission';
export type { AdmissionDecision, AdmissionInput } from './decide-admission';
export { gradientRule, STRETCH_TOLERANCE } from './gradient-rule';
export { createLatencyBaseline } from './latency-baseline';
export type { LatencyBaseline } from './latency-baseline';
export { createRetrySlots, MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS } from './retry-slots';
export type { RetrySlots } from './retry-slots';
export { createServiceRate } from './service-rate';
export type { ServiceRate } from './service-rate';
export type { AdaptiveLimit, LimitRule, LimitWindow, RequestEnd } from './types';
