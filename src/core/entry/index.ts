/** Chooses the instance that a caller should use, since there is no load balancer in front of the instances. */
export { chooseEntry } from './choose-entry';
export type { EntryChoice, EntryInput } from './choose-entry';
export { ENTRY_TTL_MS, toEntryAnswer } from './entry-answer';
export { entryKey } from './entry-key';
export type { EntryAnswer, EntryInstance } from './entry-answer';
