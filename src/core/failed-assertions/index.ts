/** Assertions of libraries that failed, for the log and the metrics. */
export { createAssertionRecord } from './create-assertion-record';
export type { AssertionFailure, AssertionRecord } from './create-assertion-record';
export { FAILED_ASSERTION_EVENTS } from './events';
