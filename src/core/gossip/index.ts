/** Gossip: small statements that spread between instances as part of membership messages. */
export { createGossipBoard } from './create-gossip-board';
export type { GossipStore } from './create-gossip-board';
export type { GossipBoard, GossipEntry, GossipStatement, GossipTopic } from './types';
