/** Limits accounts to their fair share of a service while it is scarce. */
export { createAccountShares } from './create-account-shares';
export type { AccountSharesOptions } from './create-account-shares';
export type { AccountDemand, AccountShares, DemandOutcome, ShareVerdict } from './types';
