/** Queues requests in the process while it gets too little processor time to serve them all. */
export { createIntake } from './create-intake';
export type { Intake, IntakeOptions } from './create-intake';
export { INTAKE_EVENTS } from './events';
export { createLoopWatch } from './loop-watch';
export type { LoopWatch } from './loop-watch';
export { createStallRecord } from './stall-record';
export type { StallRecord, StallRecordOptions } from './stall-record';
export type { EventLoopTurns, WaitingRequest } from './types';
