/** One instance, put together from its slices. */
export { startNode } from './create-node';
export type { GatewayNode, NodeOptions } from './create-node';
export { NODE_EVENTS } from './events';
