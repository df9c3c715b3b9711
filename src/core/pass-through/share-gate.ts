import type { AccountShares, DemandOutcome } from '../account-shares';
import type { Destination } from './destinations';
import { waitMsOf } from './local-choice';
import type { LocalChoice } from './local-choice';
import type { InboundRequest, RequestPlan } from './types';

/** Whether a request is admitted by the share of its account. */
export type GateVerdict =
  | { readonly isAdmitted: true }
  /**
   * `admittedShare` is the share of the account's demand that is admitted; it may be 1 if the request is refused because
   * of its wait.
   */
  | { readonly isAdmitted: false; readonly admittedShare: number };

/** Applies the shares of accounts to requests, and records their demand. */
export interface ShareGate {
  /** Decides about a request before its first destination is chosen, and repeats the verdict when another one is chosen. */
  check(
    request: InboundRequest,
    plan: RequestPlan,
    best: LocalChoice | undefined,
    nowMs: number,
  ): GateVerdict;
  /**
   * Records the demand of a request when its first destination is chosen. Later choices are recorded only if the servers
   * turn out to have no room for an admitted request.
   */
  record(
    request: InboundRequest,
    plan: RequestPlan,
    best: LocalChoice | undefined,
    destination: Destination,
    nowMs: number,
  ): void;
}

/** Cost of an output token, in prompt tokens. */
const OUTPUT_TOKEN_COST = 10;
/** Cost of a request that states no tokens, in prompt tokens. */
const UNSTATED_COST = 1_000;
/** Wait, as a share of the objective, above which a late first byte is due to full servers and not to a large prompt. */
const MIN_FULL_WAIT_SHARE = 0.5;

const ADMITTED: GateVerdict = { isAdmitted: true };

/** Returns the expected work of a request, in prompt tokens. */
function costOf({ demand }: InboundRequest, best: LocalChoice | undefined): number {
  if (demand === undefined) return UNSTATED_COST;
  const promptTokens = best?.tokens ?? demand.promptTokens;
  return Math.max(1, promptTokens + OUTPUT_TOKEN_COST * (demand.maxOutputTokens ?? 0));
}

/** Returns whether a request is refused because servers are slow or full, and not because it is too large itself. */
function isDueToFullServers(destination: Destination, { objectiveMs }: RequestPlan): boolean {
  if (destination.kind !== 'none') return false;
  const { basis } = destination;
  switch (basis?.kind) {
    case 'tooSlow': {
      const { best, waitMs } = basis;
      return best.predictedMs > objectiveMs && waitMs > MIN_FULL_WAIT_SHARE * objectiveMs;
    }
    case 'restricted':
      return basis.server.kind === 'limited';
    case 'overShare':
    case undefined:
      return false;
    default:
      return basis satisfies never;
  }
}

/** Returns whether the wait of a request exceeds a share of the longest wait with which it meets its objective. */
function exceedsWait(best: LocalChoice, { objectiveMs }: RequestPlan, maxWaitShare: number) {
  return waitMsOf(best) > maxWaitShare * Math.max(0, objectiveMs - best.ownPrefillMs);
}

/** Creates the gate; without `shares`, it admits all requests and records nothing. */
export function createShareGate(shares: AccountShares | undefined): ShareGate {
  /** Requests whose demand has been recorded, with their cost if they count as admitted, or undefined if refused. */
  const recorded = new WeakMap<InboundRequest, number | undefined>();
  /** Verdicts of requests that were not admitted; they hold when another region has refused the request as well. */
  const refused = new WeakMap<InboundRequest, GateVerdict>();
  /** Returns the account whose share applies; none to a forwarded request, since the instance that sent it applied it. */
  const accountOf = (plan: RequestPlan) => (plan.isForwarded ? undefined : plan.account);

  return {
    check(request, plan, best, nowMs) {
      const account = accountOf(plan);
      if (shares === undefined || account === undefined) return ADMITTED;
      if (recorded.has(request)) return refused.get(request) ?? ADMITTED;
      const { service } = plan;
      const verdict = shares.admits({ service, account }, nowMs);
      const { admittedShare, maxWaitShare } = verdict;
      const isNearlyFull =
        maxWaitShare < 1 && best !== undefined && exceedsWait(best, plan, maxWaitShare);
      if (verdict.isAdmitted && !isNearlyFull) return ADMITTED;
      const outcome = verdict.isAdmitted ? 'refusedByServers' : 'refusedByShare';
      recorded.set(request, undefined);
      shares.record({ service, account, cost: costOf(request, best), outcome }, nowMs);
      const refusal: GateVerdict = { isAdmitted: false, admittedShare };
      refused.set(request, refusal);
      return refusal;
    },
    record(request, plan, best, destination, nowMs) {
      const account = accountOf(plan);
      if (shares === undefined || account === undefined) return;
      const { service } = plan;
      const isFull = isDueToFullServers(destination, plan);
      if (recorded.has(request)) {
        const cost = recorded.get(request);
        if (cost === undefined || !isFull) return;
        recorded.set(request, undefined);
        shares.recordLateRefusal({ service, account, cost }, nowMs);
        return;
      }
      const cost = costOf(request, best);
      const refusal: DemandOutcome = isFull ? 'refusedByServers' : 'refusedOtherwise';
      const outcome = destination.kind === 'none' ? refusal : 'admitted';
      recorded.set(request, outcome === 'admitted' ? cost : undefined);
      shares.record({ service, account, cost, outcome }, nowMs);
    },
  };
}
