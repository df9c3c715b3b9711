/** Identifies the client account of a request by its key, and describes what the account may do. */
export { createAccountIndex } from './account-index';
export type { AccountIndex } from './account-index';
export { handlingRegions } from './handling-regions';
export type { HandlingRegions } from './handling-regions';
export { identify } from './identify';
export type { Identity, IdentifyInput } from './identify';
export type { AccountQuota, ClientAccount } from './types';
