/** What the instances of one region tell one another of their work at its servers. */
export { createLoadBoard } from './create-load-board';
export type { LoadBoard } from './create-load-board';
export { createLoadTeller } from './create-load-teller';
export type { LoadTeller, LoadTellerOptions } from './create-load-teller';
export { createReadNotes } from './create-read-notes';
export type { ReadNotes } from './create-read-notes';
export { readStatement, writeStatement } from './statement-message';
export type { LoadStatement, ReadParts, ServerShare } from './types';
