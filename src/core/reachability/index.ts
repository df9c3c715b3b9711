/** Which backend servers this instance reaches over its own links. */
export { createReachability } from './create-reachability';
export type { Reachability, ReachabilityOptions } from './create-reachability';
export { createCutInstances } from './cut-instances';
export type { CutInstances } from './cut-instances';
export { REACHABILITY_EVENTS } from './events';
