/** Shares the load that each instance of a region puts on its backend servers with the other instances. */
export { createLoadBoard } from './create-load-board';
export type { LoadBoard } from './create-load-board';
export { createLoadTeller } from './create-load-teller';
export type { LoadBroadcaster, LoadBroadcasterOptions } from './create-load-teller';
export { createReadNotes } from './create-read-notes';
export type { CachedPartsBuffer } from './create-read-notes';
export { readStatement, serializeLoadUpdate } from './statement-message';
export type { InstanceServerLoad, LoadUpdate, ReadParts } from './types';
