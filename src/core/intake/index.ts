/** Requests that wait in the process itself, when it has more to do than it gets processor time for. */
export { createIntake } from './create-intake';
export type { Intake, IntakeOptions } from './create-intake';
export { INTAKE_EVENTS } from './events';
export { createLoopWatch } from './loop-watch';
export type { LoopWatch } from './loop-watch';
export type { Turns, WaitingRequest } from './types';
