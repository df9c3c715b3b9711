/** How many requests a caller sends here, refused ones included, as a moving average. */
export interface DemandRate {
  readonly perSecond: number;
  readonly atMs: number;
}

/** Time over which demand is averaged: shares follow within seconds and do not jump with each request, s. */
const AVERAGED_S = 2;

/** No demand yet. */
export const NO_DEMAND: DemandRate = { perSecond: 0, atMs: 0 };

/** The rate at `nowMs` when nothing came since. */
export function demandAt({ perSecond, atMs }: DemandRate, nowMs: number): number {
  return perSecond * Math.exp(-(nowMs - atMs) / (AVERAGED_S * 1000));
}

/** Takes in one request. */
export function addDemand(demand: DemandRate, nowMs: number): DemandRate {
  return { perSecond: demandAt(demand, nowMs) + 1 / AVERAGED_S, atMs: nowMs };
}
