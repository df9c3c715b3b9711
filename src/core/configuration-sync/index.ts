/** How a version reaches every instance: from the configuration service over a few, from peer to peer to all. */
export { configurationStatus } from './configuration-status';
export type { ConfigurationStatus, InstanceConfiguration } from './configuration-status';
export { NO_CONFIGURATION, createConfigurationSync } from './create-configuration-sync';
export type {
  ConfigurationState,
  ConfigurationSync,
  ConfigurationSyncOptions,
} from './create-configuration-sync';
export { CONFIGURATION_SYNC_EVENTS } from './events';
export type {
  AskPeer,
  ConfigurationAnswer,
  ConfigurationRequest,
  ConfigurationService,
  ServiceValue,
} from './types';
