/** Patches (RFC 6902) that operators write against a numbered version. */
export { applyConfigurationPatch, diffConfigurations } from './apply-patch';
export type { PatchResult } from './types';
