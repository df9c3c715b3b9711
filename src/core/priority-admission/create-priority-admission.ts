import type { PriorityAdmission, RequestKind } from './types';

/**
 * Maximum wait of a less urgent request, as a share of the objective of a more urgent kind. The rest is left for the
 * prompt of an urgent request that follows, and for requests that other instances send at the same time.
 */
const MAX_WAIT_SHARE = 0.3;
/**
 * Time after the last request of a kind for which its demand counts in full, ms. An instance of a large region sees
 * an urgent request only every few seconds.
 */
const DEMAND_PERIOD_MS = 5_000;
/** Time in which the bound falls from the objective to its minimum, ms: urgent requests regain capacity within 1 s. */
const TIGHTEN_MS = 500;
/** Time in which the bound rises from its minimum to the objective, ms. */
const LOOSEN_MS = 2_000;

/** Demand of the requests of a service with one priority and one objective. */
interface KindDemand {
  readonly priority: number;
  readonly objectiveMs: number;
  /** Weight at `weightAtMs`: 0 for no demand, 1 if the bound applies in full. */
  weight: number;
  weightAtMs: number;
  lastRequestAtMs: number;
}

/** Returns to what extent the bound that protects a kind applies, from 0 to 1. */
function weightOf(demand: KindDemand, nowMs: number): number {
  const { weight, weightAtMs, lastRequestAtMs } = demand;
  const endsAtMs = lastRequestAtMs + DEMAND_PERIOD_MS;
  const presentMs = Math.max(0, Math.min(nowMs, endsAtMs) - weightAtMs);
  const absentMs = Math.max(0, nowMs - Math.max(endsAtMs, weightAtMs));
  const peak = Math.min(1, weight + presentMs / TIGHTEN_MS);
  return Math.max(0, peak - absentMs / LOOSEN_MS);
}

/**
 * Creates an admission by priority without any demand.
 *
 * Servers start urgent requests first, but instances predict one wait for all. Without a bound, less urgent requests,
 * whose objective is longer, are admitted until the predicted wait exceeds the objective of the urgent ones: these are
 * then refused or sent to other regions, although the servers would start them first. With the bound, a less urgent
 * request is admitted only where an urgent one could follow it in time. No capacity is kept idle,
 * since the bound is a wait: a server without a queue takes any request. Only demand that has to wait is recorded, so
 * that less urgent requests are not refused while urgent ones are in time anyway.
 *
 * Each instance decides by the requests that it sees itself. The bound changes linearly over time instead of jumping,
 * so that instances which see the first or last urgent request at the same moment do not admit or refuse all others at
 * once.
 */
export function createPriorityAdmission(): PriorityAdmission {
  const demandsByService = new Map<string, readonly KindDemand[]>();

  /** Returns the demands of a service that still have an effect. */
  const currentDemands = (service: string, nowMs: number): readonly KindDemand[] =>
    (demandsByService.get(service) ?? []).filter(
      (demand) => nowMs <= demand.lastRequestAtMs + DEMAND_PERIOD_MS || weightOf(demand, nowMs) > 0,
    );

  return {
    recordDemand({ service, priority, objectiveMs }, nowMs) {
      // Drops kinds without recent requests, such as those that a change of the configuration removed.
      const demands = currentDemands(service, nowMs);
      const known = demands.find(
        (demand) => demand.priority === priority && demand.objectiveMs === objectiveMs,
      );
      if (known !== undefined) {
        known.weight = weightOf(known, nowMs);
        known.weightAtMs = nowMs;
        known.lastRequestAtMs = nowMs;
        demandsByService.set(service, demands);
        return;
      }
      const added = { priority, objectiveMs, weight: 0, weightAtMs: nowMs, lastRequestAtMs: nowMs };
      demandsByService.set(service, [...demands, added]);
    },
    maxWaitMs({ service, priority, objectiveMs }: RequestKind, nowMs) {
      const bounds = (demandsByService.get(service) ?? [])
        .filter((demand) => demand.priority < priority)
        .map((demand) => {
          const fullBoundMs = Math.min(objectiveMs, demand.objectiveMs * MAX_WAIT_SHARE);
          return objectiveMs - (objectiveMs - fullBoundMs) * weightOf(demand, nowMs);
        });
      return Math.min(objectiveMs, ...bounds);
    },
  };
}
