/** Parts of prompts that crash each server that begins to write an answer on them. */
export { createCauseLedger } from './cause-ledger';
export type { CauseLedger } from './cause-ledger';
export { MAX_ANSWERED_MS, createCrashCauses } from './create-crash-causes';
export type { CrashCauses, CrashCausesOptions } from './create-crash-causes';
export type { RequestCrash } from './crash-collector';
export { CRASH_CAUSE_EVENTS } from './events';
export { createPartHistory } from './part-history';
export { createSuspectParts } from './suspect-parts';
export type { SuspectParts } from './suspect-parts';
export type { Conviction, CrashSighting, HeldRequest, PartTrial, RequestWithParts } from './types';
