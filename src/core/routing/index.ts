/** Which server, or which other region, gets a request. */
export { chooseRoute } from './choose-route';
export { ROUTING_EVENTS } from './events';
export type { PeerCandidate, RoutingDecision, RoutingInput, ServerCandidate } from './types';
export { withoutFailed } from './without-failed';
