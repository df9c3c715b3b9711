/** Distributes published state in a fleet: few instances watch the source, the others follow them. */
export { createWatchHandlers } from './watch-handlers';
export { createWatcherClient } from './watcher-client';
export { createRelayedSource } from './create-relayed-source';
export type { RelayedSource, RelayedSourceOptions } from './create-relayed-source';
export { STATE_RELAY_EVENTS } from './events';
export type { RelayInstance } from './types';
