import type { AccountQuotas, QuotaDecision } from '../account-quotas';
import type { RouteTableStore } from '../host-routes';
import type { StreamVersions } from '../stream-versions';
import { chargeQuota } from './charge-quota';
import type { ChargedPlan } from './plan-request';
import { planResumedStream } from './resumed-stream';
import type { ResumedPlan } from './resumed-stream';
import type { InboundRequest, RequestPlan } from './types';

/** Options of `prepareRequest`. */
export interface PrepareRequestOptions {
  readonly quotas: Pick<AccountQuotas, 'authorize' | 'refund'>;
  readonly streamVersions: Pick<StreamVersions, 'find'>;
  readonly routes: Pick<RouteTableStore, 'current'>;
}

/** A request to prepare, with a callback for each outcome. */
export interface PreparableRequest {
  readonly request: InboundRequest;
  readonly planned: ChargedPlan;
  /** Whether its caller has left. */
  readonly isGone: () => boolean;
  /** Called if the caller left while the request waited. */
  readonly drop: () => void;
  readonly refuseForQuota: (
    plan: RequestPlan,
    decision: Exclude<QuotaDecision, { kind: 'granted' }>,
  ) => void;
  readonly refuseResumed: (refused: Extract<ResumedPlan, { kind: 'refused' }>) => void;
  /** Serves the request; call `refund` once it is known not to have run. */
  readonly serve: (plan: RequestPlan, refund: () => void) => void;
}

/**
 * Finds out what has to be known before a request is served: the version that began the stream which it takes up, and
 * whether its quota allows it. Other instances may have to be asked for both.
 */
export function prepareRequest(
  { quotas, streamVersions, routes }: PrepareRequestOptions,
  preparable: PreparableRequest,
): void {
  const { request, planned, isGone, drop, refuseForQuota, refuseResumed, serve } = preparable;
  const charge = (plan: RequestPlan): void =>
    chargeQuota(quotas, {
      charge: planned.charge,
      isGone,
      drop,
      refuse: (decision) => refuseForQuota(plan, decision),
      serve: (refund) => serve(plan, refund),
    });
  planResumedStream(streamVersions, routes, request, planned.plan, (resumed) => {
    if (isGone()) drop();
    else if (resumed.kind === 'planned') charge(resumed.plan);
    else refuseResumed(resumed);
  });
}
