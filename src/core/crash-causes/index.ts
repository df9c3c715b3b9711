/** Parts of prompts that crash each server that begins to write an answer on them. */
export { createSuspectParts } from './suspect-parts';
export type { SuspectParts } from './suspect-parts';
