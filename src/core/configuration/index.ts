/** The configuration: its schema, its look-ups, and the store that keeps the version in force. */
export { compileConfiguration } from './compile';
export type { CompiledConfiguration } from './compile';
export {
  outlierOptionsSchema,
  poisonOptionsSchema,
  resilienceSchema,
  retryOptionsSchema,
  spilloverOptionsSchema,
} from './resilience-schema';
export { currentResilience } from './current-resilience';
export type {
  OutlierOptions,
  PoisonOptions,
  Resilience,
  RetryOptions,
  SpilloverOptions,
} from './resilience-schema';
export { configurationSchema, weightsSchema } from './schema';
export type {
  BackendServer,
  Caller,
  Configuration,
  ConfigurationInput,
  EngineRole,
  Placement,
  Priority,
  Service,
  Weights,
} from './schema';
export { createConfigurationStore } from './store';
export type { ConfigurationStore, ConfigurationStoreOptions, OfferResult } from './store';
export type { ConfigurationImage } from './assemble';
export { deriveRoot } from './apply-changes';
export type { DerivedRoot, Documents } from './apply-changes';
export { contentHash, shortDigest } from './content-hash';
export { splitConfiguration } from './split-configuration';
export type { PreviousVersion, PublishedConfiguration } from './split-configuration';
export { manifestSchema } from './manifest-schema';
export type { Manifest } from './manifest-schema';
