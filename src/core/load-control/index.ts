/** Admission, queues and routing as the running instance uses them: promises, timers and log lines around them. */
export { createLoadControl } from './create-load-control';
export type { LoadControlNeeds } from './create-load-control';
export { LOAD_CONTROL_EVENTS } from './events';
export { LOAD_REPORT_HEADER } from './read-load-report';
export type { LoadControl, MayUse, Slot } from './types';
