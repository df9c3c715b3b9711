/** Planned stop of an instance: it is announced, then new requests are refused, and it ends when no work is open. */
export { createDraining } from './create-draining';
export type { Draining } from './create-draining';
export { DRAINING_EVENTS } from './events';
export { countServing, gateServing } from './gate-serving';
export type { DrainHold, DrainPhase, OpenWork } from './types';
