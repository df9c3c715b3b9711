/** The planned stop of an instance: told first, then nothing new, and gone when nothing is open. */
export { createDraining } from './create-draining';
export type { Draining } from './create-draining';
export { DRAINING_EVENTS } from './events';
export { countServing, gateServing } from './gate-serving';
export type { DrainHold, DrainPhase, OpenWork } from './types';
