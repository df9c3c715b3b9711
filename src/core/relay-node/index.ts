/** Instance that passes requests through to backend servers, which register themselves. */
export { RELAY_NODE_EVENTS } from './events';
export { relaySettingsSchema } from './settings';
export type { RelaySettings, TrafficPolicy } from './settings';
export { PEER_SECRET, startRelayNode } from './start-relay-node';
export type { RelayNode, RelayNodeOptions } from './start-relay-node';
