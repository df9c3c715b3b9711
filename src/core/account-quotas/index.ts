/** Enforces the quotas of client accounts over all instances, without shared state. */
export { createAccountQuotas } from './create-account-quotas';
export type { AccountQuotas, AccountQuotasOptions } from './create-account-quotas';
export type { QuotaDecision, QuotaRequest, QuotaStanding } from './types';
