/** Passes requests through to backend servers unchanged, here or in another region. */
export { createCrashWatch } from './crash-watch';
export { createCrashInvestigations } from './investigate-crash';
export { createRouter } from './create-router';
export type { Router } from './create-router';
export { PASS_THROUGH_EVENTS } from './events';
export { openIngress } from './open-ingress';
export type { Ingress } from './open-ingress';
export { createStandbyConnections } from './standby-connections';
export type { StandbyConnections } from './standby-connections';
export type { ForwardPeer } from './other-regions';
export { sumByService } from './region-room';
export type { ServedRequest } from './request-end';
export type { ServeDependencies } from './serve-request';
export type { HeaderDialect, TokenCount } from './types';
export type { NamedLimit } from '../server-limits';
export type { StatedDeparture } from '../server-notices';
export { createWarmCheck } from './warm-check';
export type { CheckConnection } from './warm-check';
