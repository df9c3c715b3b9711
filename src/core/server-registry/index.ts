/** Which backend servers there are, by what they announce of themselves. */
export { createServerRegistry } from './create-server-registry';
export type { ServerRegistry, ServerRegistryOptions } from './create-server-registry';
export type { KnownServer, ServerAnnouncement } from './types';
