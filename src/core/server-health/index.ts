/** Health of the backend servers, from their own reports, the platform's list, health checks and peers. */
export { createServerHealth } from './create-server-health';
export type { ServerAvailability, ServerHealth, ServerHealthOptions } from './create-server-health';
export { INCARNATION_HEADER, STATE_HEADER } from './classify-health-answer';
export { SERVER_HEALTH_EVENTS } from './events';
export { createServerProber } from './probe-server';
export type { ServerProbe } from './probe-server';
export type { ServerObservation, HealthState } from './types';
export { watchServerLists } from './watch-server-list';
