/** Distributes published state in a fleet: few instances watch the source, the others follow them. */
export { answerWatches } from './answer-watches';
export { createWatcherClient } from './ask-watcher';
export { createRelayedSource } from './create-relayed-source';
export type { RelayedSource, RelayedSourceOptions } from './create-relayed-source';
export { STATE_RELAY_EVENTS } from './events';
export type { RelayInstance } from './types';
