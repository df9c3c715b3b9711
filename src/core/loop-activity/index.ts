/** What the event loop is occupied with, for the log line of a stall. */
export { NO_LOOP_ACTIVITY, createLoopActivity } from './create-loop-activity';
export type { LoopActivity, LoopWork, OccupiedLoop } from './types';
