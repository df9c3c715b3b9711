/** Gossip: small statements that spread between instances as part of membership messages. */
export { createGossipStore } from './create-gossip-store';
export type { GossipStore } from './create-gossip-store';
export type { Gossip, GossipEntry, GossipStatement, GossipTopic } from './types';
