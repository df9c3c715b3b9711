/** Decides which log lines are written when whatever reads them falls behind. */
export { decideLine } from './decide-line';
export { LOG_FLOW_EVENTS } from './events';
export { createLogValve } from './log-valve';
export type { LogValve } from './log-valve';
