/** Which backend servers this instance reaches over its own links. */
export { createReachability } from './create-reachability';
export type { Reachability, ReachabilityOptions } from './create-reachability';
export { REACHABILITY_EVENTS } from './events';
