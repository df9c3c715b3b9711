/** Servers that fail if they have to reject more than a few requests within a second. */
export { createBrittleServers } from './create-brittle-servers';
export type {
  BrittleServer,
  BrittleServers,
  BrittleServersOptions,
} from './create-brittle-servers';
export { BRITTLE_SERVER_EVENTS } from './events';
export type { SlotLease, SlotVerdict, StatedBrittleness } from './types';
