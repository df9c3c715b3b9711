/** What the platform publishes. It is only ever read. */
export { createConfigurationService } from './configuration-service';
export type { ConfigurationPlace } from './configuration-service';
