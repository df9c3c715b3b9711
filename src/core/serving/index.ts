/** The way of one request through this instance. */
export { checkRegion, checkRequest } from './check-request';
export { SERVING_EVENTS } from './events';
export { createServing } from './serve-request';
export type { Serving } from './serve-request';
export type { ServingDependencies } from './dependencies';
export type {
  GatewayRequest,
  Header,
  RequestOrigin,
  ResponseHead,
  ResponseSink,
  SendGuard,
} from './types';
export { explainRoute } from './explain-route';
export type { RouteExplanation } from './explain-route';
export { observeSender } from './observe-sender';
