import type { AccountShares, DemandOutcome } from '../account-shares';
import type { Destination } from './create-router';
import { waitMsOf } from './local-servers';
import type { LocalChoice } from './local-servers';
import type { InboundRequest, RequestPlan } from './types';

/** Decision of the share of the account of a request. */
export type GateVerdict =
  | { readonly isAdmitted: true }
  /** `admittedShare` is the share of the account's demand that is admitted. */
  | { readonly isAdmitted: false; readonly admittedShare: number };

/** Applies the shares of accounts to requests, and records their demand. */
export interface ShareGate {
  /** Decides about a request before its first destination is chosen; admits it at each later choice. */
  check(
    request: InboundRequest,
    plan: RequestPlan,
    best: LocalChoice | undefined,
    nowMs: number,
  ): GateVerdict;
  /** Records the demand of a request with its first destination; later ones only if the servers have no room after all. */
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
/** Wait without the own prompt, as a share of the objective, above which a late first byte is due to full servers. */
const MIN_FULL_WAIT_SHARE = 0.5;

const ADMITTED: GateVerdict = { isAdmitted: true };

/** Returns the expected work of a request, in prompt tokens. */
function costOf({ demand }: InboundRequest, best: LocalChoice | undefined): number {
  if (demand === undefined) return UNSTATED_COST;
  const promptTokens = best?.tokens ?? demand.promptTokens;
  return Math.max(1, promptTokens + OUTPUT_TOKEN_COST * (demand.maxOutputTokens ?? 0));
}

/** Returns whether a refusal shows that the servers are too slow or full, and not that the request itself is too large. */
function isForFullServers(destination: Destination, { objectiveMs }: RequestPlan): boolean {
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

/** Returns whether the wait of a request exceeds what it may wait for its objective, reduced to a share of it. */
function exceedsWait(best: LocalChoice, { objectiveMs }: RequestPlan, maxWaitShare: number) {
  return waitMsOf(best) > maxWaitShare * Math.max(0, objectiveMs - best.ownPrefillMs);
}

/** Creates the gate; without `shares`, it admits all requests and records nothing. */
export function createShareGate(shares: AccountShares | undefined): ShareGate {
  /** Cost of the requests whose demand has been recorded; undefined in place of the cost unless they were admitted. */
  const recorded = new WeakMap<InboundRequest, number | undefined>();
  /** Returns the account whose share applies. The instance that got a forwarded request has applied it. */
  const accountOf = (plan: RequestPlan) => (plan.isForwarded ? undefined : plan.account);

  return {
    check(request, plan, best, nowMs) {
      const account = accountOf(plan);
      if (shares === undefined || account === undefined || recorded.has(request)) return ADMITTED;
      const { service } = plan;
      const verdict = shares.admits({ service, account }, nowMs);
      const { admittedShare, maxWaitShare } = verdict;
      const isNearlyFull =
        maxWaitShare < 1 && best !== undefined && exceedsWait(best, plan, maxWaitShare);
      if (verdict.isAdmitted && !isNearlyFull) return ADMITTED;
      const outcome = verdict.isAdmitted ? 'refusedByServers' : 'refusedByShare';
      recorded.set(request, undefined);
      shares.record({ service, account, cost: costOf(request, best), outcome }, nowMs);
      return { isAdmitted: false, admittedShare };
    },
    record(request, plan, best, destination, nowMs) {
      const account = accountOf(plan);
      if (shares === undefined || account === undefined) return;
      const { service } = plan;
      const isFull = isForFullServers(destination, plan);
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
