/** Small statements that spread between instances on membership's messages. */
export { createGossipBoard } from './create-gossip-board';
export type { GossipStore } from './create-gossip-board';
export type { GossipBoard, GossipEntry, GossipStatement, GossipTopic } from './types';
