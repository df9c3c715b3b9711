/** A local copy of the state that operators and backend servers publish in a read-only source. */
export { createStateSync } from './create-state-sync';
export type { StateSync, StateSyncOptions } from './create-state-sync';
export { STATE_SYNC_EVENTS } from './events';
export { isLater } from './position';
export type { Position } from './position';
export { parseChanges, serializeChanges } from './changes-message';
export { parseSnapshot, serializeSnapshot } from './snapshot-message';
export type { FollowedChanges } from './followed-changes';
export type {
  ItemChange,
  ItemRevisions,
  PublishedChange,
  PublishedChanges,
  PublishedEffect,
  PublishedItem,
  PublishedState,
  StateSource,
  UnreadableItem,
} from './types';
