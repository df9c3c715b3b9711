/** What engines are to have, and the orders that bring them there. */
export { createEngineClient, FENCING_HEADER, ROLE_HEADER } from './engine-client';
export type { EngineClient } from './engine-client';
export { ENGINE_ORDER_EVENTS } from './events';
export { runEngineOrders } from './run-orders';
export type { EngineOrdersOptions } from './run-orders';
export { versionOfFencing } from './fencing';
export { planPlacement } from './plan-placement';
export type { EngineOrder, EngineSight, OrderAnswer, PlacedEngine, PresentModel } from './types';
