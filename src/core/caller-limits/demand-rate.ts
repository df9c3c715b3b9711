/** Moving average of the requests that a caller sends to this instance, including refused ones. */
export interface DemandRate {
  readonly perSecond: number;
  readonly atMs: number;
}

/**
 * Time constant of the moving average, s. Grants follow a change of demand within seconds and do not jump with each
 * request.
 */
const AVERAGING_TIME_S = 2;

/** Demand of a caller that has sent no request. */
export const NO_DEMAND: DemandRate = { perSecond: 0, atMs: 0 };

/** Returns the rate at `nowMs`, provided that no request came since it was last updated. */
export function demandAt({ perSecond, atMs }: DemandRate, nowMs: number): number {
  return perSecond * Math.exp(-(nowMs - atMs) / (AVERAGING_TIME_S * 1000));
}

/** Returns the rate after one more request. */
export function addDemand(demand: DemandRate, nowMs: number): DemandRate {
  return { perSecond: demandAt(demand, nowMs) + 1 / AVERAGING_TIME_S, atMs: nowMs };
}
