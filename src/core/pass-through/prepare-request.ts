import type { AccountQuotas, QuotaDecision } from '../account-quotas';
import type { Clock } from '../clock';
import type { RouteTableStore } from '../host-routes';
import type { StreamVersions } from '../stream-versions';
import { chargeQuota } from './charge-quota';
import type { ChargedPlan } from './plan-request';
import { answerDeadlineMs } from './forwarding';
import { planResumedStream } from './resumed-stream';
import type { ResumedPlan } from './resumed-stream';
import type { InboundRequest, RequestPlan } from './types';

/** Options of `prepareRequest`. */
export interface PrepareRequestOptions {
  readonly clock: Pick<Clock, 'schedule'>;
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
  /** Called at the deadline of the request if it still waits; nothing of it has run. */
  readonly refuseTimedOut: () => void;
  /** Serves the request; call `refund` once it is known not to have run. */
  readonly serve: (plan: RequestPlan, refund: () => void) => void;
}

/**
 * Finds out what has to be known before a request is served: the version that began the stream which it takes up, and
 * whether its quota allows it. Other instances may have to be asked for both.
 *
 * Several are asked in turn, and those that have stopped don't answer. So the wait ends at the deadline of the request.
 */
export function prepareRequest(
  { clock, quotas, streamVersions, routes }: PrepareRequestOptions,
  preparable: PreparableRequest,
): void {
  const { request, planned } = preparable;
  let deadline: Disposable | undefined;
  let isOver = false;

  const end = (): void => {
    isOver = true;
    deadline?.[Symbol.dispose]();
  };
  const isGone = (): boolean => isOver || preparable.isGone();
  const drop = (): void => {
    if (isOver) return;
    end();
    preparable.drop();
  };
  const charge = (plan: RequestPlan): void =>
    chargeQuota(quotas, {
      charge: planned.charge,
      isGone,
      drop,
      refuse(decision) {
        end();
        preparable.refuseForQuota(plan, decision);
      },
      serve(refund) {
        end();
        preparable.serve(plan, refund);
      },
    });

  planResumedStream(streamVersions, routes, request, planned.plan, (resumed) => {
    if (isGone()) drop();
    else if (resumed.kind === 'planned') charge(resumed.plan);
    else {
      end();
      preparable.refuseResumed(resumed);
    }
  });
  if (isOver) return;
  deadline = clock.schedule(answerDeadlineMs(planned.plan), () => {
    if (preparable.isGone()) {
      drop();
      return;
    }
    end();
    preparable.refuseTimedOut();
  });
}
