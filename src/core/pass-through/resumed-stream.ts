import type { RouteTableStore } from '../host-routes';
import type { BegunStream, FoundVersion, StreamIdentity, StreamVersions } from '../stream-versions';
import type { InboundRequest, RefusalReason, RequestPlan } from './types';

/** Plan of a request whose stream may go on, or why it may not. */
export type ResumedPlan =
  | { readonly kind: 'planned'; readonly plan: RequestPlan }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number | undefined;
    };

/** Retry delay if an instance that should know the version has not answered, ms: a cut link may be back by then. */
const UNKNOWN_RETRY_MS = 500;

/** Returns whether callers of the request may take its stream up. */
function mayBeTakenUp({ kind, isResumable, isForwarded }: RequestPlan): boolean {
  // The instance that the caller asked passes the first event on, so that it alone knows which version began the stream.
  return kind === 'stream' && isResumable && !isForwarded;
}

/** Returns the stream of which a request passes events on; undefined if it takes one up that it does not name. */
function streamOf(
  { requestId, lastEventId, resumedRequestId }: InboundRequest,
  { route, account }: RequestPlan,
): StreamIdentity | undefined {
  const begunBy = lastEventId === undefined ? requestId : resumedRequestId;
  return begunBy === undefined || begunBy === ''
    ? undefined
    : { route, account, requestId: begunBy };
}

/** Records which version writes the first event that a request passes on, unless that was known before. */
export function recordBegunStream(
  { streamVersions }: { readonly streamVersions: { recordBegun(stream: BegunStream): void } },
  request: InboundRequest,
  plan: RequestPlan,
  softwareVersion: string | undefined,
): void {
  if (softwareVersion === undefined || !mayBeTakenUp(plan)) return;
  const identity = streamOf(request, plan);
  if (identity === undefined || plan.streamVersion !== undefined) return;
  const { service, deadlineAtMs } = plan;
  streamVersions.recordBegun({ identity, service, softwareVersion, deadlineAtMs });
}

/**
 * Plans a request that takes a stream up, so that it goes on at the software version that began it. A version that is not
 * known is not guessed if several may have begun the stream. `decide` may be called before this returns.
 */
export function planResumedStream(
  streamVersions: Pick<StreamVersions, 'find'>,
  routes: Pick<RouteTableStore, 'current'>,
  request: InboundRequest,
  plan: RequestPlan,
  decide: (resumed: ResumedPlan) => void,
): void {
  if (request.lastEventId === undefined || !mayBeTakenUp(plan)) {
    decide({ kind: 'planned', plan });
    return;
  }
  const isAllowed = (service: string): boolean => {
    const route = routes.current()?.table.routes.find(({ name }) => name === plan.route);
    return route?.targets.some((target) => target.service === service) === true;
  };
  const apply = (found: FoundVersion): void => {
    switch (found.kind) {
      case 'known': {
        // Of a route with several services, the one that began the stream goes on with it.
        const { service, softwareVersion: streamVersion } = found;
        if (!isAllowed(service)) {
          decide({ kind: 'refused', reason: 'streamVersionGone', retryAfterMs: undefined });
          return;
        }
        decide({ kind: 'planned', plan: { ...plan, service, streamVersion } });
        return;
      }
      case 'onlyVersion':
        // Another version may begin to serve while the request waits.
        decide({ kind: 'planned', plan: { ...plan, streamVersion: found.softwareVersion } });
        return;
      case 'unknown': {
        const retryAfterMs = found.mayBeKnownLater ? UNKNOWN_RETRY_MS : undefined;
        decide({ kind: 'refused', reason: 'streamVersionUnknown', retryAfterMs });
        return;
      }
      default:
        found satisfies never;
    }
  };
  streamVersions.find(streamOf(request, plan), plan, apply);
}
