import type { AccountQuotas, QuotaDecision, QuotaRequest } from '../account-quotas';
import type { ClientAccount } from '../client-accounts';
import type { HeaderMap } from '../exchanges';
import type { HeaderDialect } from './types';

/** What a request costs its account. */
export type RequestCharge =
  /** Nobody's quota is touched. */
  | { readonly kind: 'free' }
  | { readonly kind: 'charged'; readonly request: QuotaRequest }
  /** It states its size in a form that cannot be read. */
  | { readonly kind: 'malformed' };

const FREE: RequestCharge = { kind: 'free' };

/** What a request costs its account, in the unit of the account's quota. */
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

/** What becomes of a request at the gate. */
export interface GatedRequest {
  readonly charge: RequestCharge;
  /** Whether its caller has left. */
  readonly isGone: () => boolean;
  /** Serves it; `giveBack` is to be called once it is known not to have run. */
  readonly serve: (giveBack: () => void) => void;
  readonly refuse: (decision: Exclude<QuotaDecision, { kind: 'granted' }>) => void;
  /** Its caller has left while it waited. */
  readonly drop: () => void;
}

/** Lets requests pass that are inside the quota of their account. */
export function passQuota(
  quotas: Pick<AccountQuotas, 'require' | 'giveBack'>,
  gated: GatedRequest,
): void {
  const { charge, isGone, serve, refuse, drop } = gated;
  if (charge.kind !== 'charged') {
    serve(() => {});
    return;
  }
  const { request } = charge;
  const giveBack = () => quotas.giveBack(request);
  quotas.require(request, (decision) => {
    if (decision.kind !== 'granted') {
      if (!isGone()) refuse(decision);
      else drop();
      return;
    }
    if (isGone()) {
      giveBack();
      drop();
      return;
    }
    serve(giveBack);
  });
}
