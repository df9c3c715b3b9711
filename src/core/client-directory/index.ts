/** Chooses the instances that a caller should use. */
export { chooseAddresses } from './choose-addresses';
export type { CallerLocation, DirectoryEntry, DirectoryView } from './choose-addresses';
