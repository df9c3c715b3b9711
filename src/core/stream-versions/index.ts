/** Keeps in mind which software version began each stream, so that it goes on at no other. */
export { createStreamVersions } from './create-stream-versions';
export type { StreamVersions } from './create-stream-versions';
export { STREAM_VERSION_EVENTS } from './events';
export type { BegunStream, FoundVersion, StreamIdentity, VersionHolder } from './types';
