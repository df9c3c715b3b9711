/** Time as the rest of the code sees it. Decisions never read a clock themselves; they are handed `nowMs`. */
export { sleepUntil } from './clock';
export type { Clock } from './clock';
export { createDeadlineSignal } from './deadline-signal';
export type { DeadlineSignal } from './deadline-signal';
export { createWakeUp } from './wake-up';
export type { WakeUp } from './wake-up';
export { createKeyedTimers } from './keyed-timers';
export type { KeyedTimers } from './keyed-timers';
