/** Admission, queueing and routing in the running instance: promises, timers and log lines around the scheduler. */
export { createLoadControl } from './create-load-control';
export type { LoadControlOptions } from './create-load-control';
export { LOAD_CONTROL_EVENTS } from './events';
export { LOAD_REPORT_HEADER } from './read-load-report';
export type { LoadControl, MayUse, Slot } from './types';
