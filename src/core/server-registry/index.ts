/** Registry of the backend servers, built from their announcements. */
export { createServerRegistry } from './create-server-registry';
export type { ServerRegistry, ServerRegistryOptions } from './create-server-registry';
export { createAnnouncedVersions } from './announced-versions';
export type { AnnouncedVersion } from './announced-versions';
export type { KnownServer, ServerAnnouncement } from './types';
