/** Limits that backend servers name in their answers, for all instances together. */
export { createKnownLimits } from './known-limits';
export type { KnownLimit, KnownLimits } from './known-limits';
export type { NamedLimit } from './types';
