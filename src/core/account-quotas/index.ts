/** Holds what accounts may ask over all instances, without shared state. */
export { createAccountQuotas } from './create-account-quotas';
export type { AccountQuotas, AccountQuotasOptions } from './create-account-quotas';
export type { QuotaDecision, QuotaPeer, QuotaRequest, QuotaStanding } from './types';
