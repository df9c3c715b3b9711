/** Numbered log events. The catalogue itself is in `catalogue.ts`, apart, since slices import from here. */
export type { EventDefinition, EventFields, EventLevel, Logger } from './types';
