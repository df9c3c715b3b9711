/** Keeps all instances of a region together to the limits that its backend servers name in their answers. */
export { createServerLimits } from './create-server-limits';
export type { ServerLimits, ServerLimitsOptions } from './create-server-limits';
export type { LimitObservation, NamedLimit, PermitVerdict } from './types';
