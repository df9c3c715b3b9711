/** What the platform publishes. It is only ever read. */
export { createConfigurationService } from './configuration-service';
export type { ConfigurationPlace } from './configuration-service';
export { readInstanceList } from './read-instance-list';
export type { InstanceListPlace } from './read-instance-list';
