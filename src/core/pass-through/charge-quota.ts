import type { AccountQuotas, QuotaDecision, QuotaRequest } from '../account-quotas';
import type { ClientAccount } from '../client-accounts';
import type { HeaderMap } from '../exchanges';
import type { HeaderDialect } from './types';

/** Charge of a request against the quota of its client account. */
export type RequestCharge =
  /** No quota is charged. */
  | { readonly kind: 'free' }
  | { readonly kind: 'charged'; readonly request: QuotaRequest }
  /** The token count that the request states cannot be parsed. */
  | { readonly kind: 'malformed' };

const FREE: RequestCharge = { kind: 'free' };

/** Returns the charge of a request, in the unit of the quota of its client account. */
export function chargeFor(
  account: ClientAccount | undefined,
  headers: HeaderMap,
  dialect: Pick<HeaderDialect, 'readTokenCount'>,
): RequestCharge {
  const quota = account?.quota;
  if (account === undefined || quota === undefined) return FREE;
  const charged = (cost: number): RequestCharge => ({
    kind: 'charged',
    request: { account: account.name, quota, cost },
  });
  if (quota.unit === 'requests') return charged(1);
  const count = dialect.readTokenCount(headers);
  switch (count.kind) {
    case 'unstated':
      return charged(quota.plainCost);
    case 'stated':
      return charged(count.tokens);
    case 'malformed':
      return { kind: 'malformed' };
    default:
      return count satisfies never;
  }
}

/** A request to charge, with a callback for each outcome. */
export interface ChargeableRequest {
  readonly charge: RequestCharge;
  /** Whether its caller has left. */
  readonly isGone: () => boolean;
  /** Serves the request; call `refund` once it is known not to have run. */
  readonly serve: (refund: () => void) => void;
  readonly refuse: (decision: Exclude<QuotaDecision, { kind: 'granted' }>) => void;
  /** Called if the caller left while the request waited. */
  readonly drop: () => void;
}

/** Charges a request to the quota of its client account, and serves it if the quota allows. */
export function chargeQuota(
  quotas: Pick<AccountQuotas, 'authorize' | 'refund'>,
  chargeable: ChargeableRequest,
): void {
  const { charge, isGone, serve, refuse, drop } = chargeable;
  if (charge.kind !== 'charged') {
    serve(() => {});
    return;
  }
  const { request } = charge;
  const refund = () => quotas.refund(request);
  quotas.authorize(request, (decision) => {
    if (decision.kind !== 'granted') {
      if (!isGone()) refuse(decision);
      else drop();
      return;
    }
    if (isGone()) {
      refund();
      drop();
      return;
    }
    serve(refund);
  });
}
