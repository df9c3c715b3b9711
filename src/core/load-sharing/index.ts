/** Shares the load that each instance of a region puts on its backend servers with the other instances. */
export { createPeerLoads } from './create-peer-loads';
export type { PeerLoads } from './create-peer-loads';
export { createLoadBroadcaster, updateIntervalMs } from './create-load-broadcaster';
export type { LoadBroadcaster, LoadBroadcasterOptions } from './create-load-broadcaster';
export { createCachedPartsBuffer } from './create-cached-parts-buffer';
export type { CachedPartsBuffer } from './create-cached-parts-buffer';
export { parseLoadUpdate, serializeLoadUpdate } from './load-update-message';
export type { InstanceServerLoad, LoadUpdate, CachedParts } from './types';
