/** Tells callers which instances to use. */
export { chooseAddresses } from './choose-addresses';
export type { CallerPlace, DirectoryEntry, DirectoryView } from './choose-addresses';
