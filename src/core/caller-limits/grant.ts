import type { AccountLimit } from './types';

/**
 * What one instance grants a caller: all that the others leave over, and at least its part of the demand.
 *
 * While the whole demand is inside the limit, a caller may use all of the rest at any instance, so that a change
 * of entry costs nothing. Once the demand exceeds the limit, what the instances grant adds up to the limit.
 */
export function grantedPerSecond(
  { requestsPerSecond }: AccountLimit,
  ownDemand: number,
  othersDemand: number,
): number {
  const leftOver = requestsPerSecond - othersDemand;
  const demand = ownDemand + othersDemand;
  const inProportion = demand === 0 ? requestsPerSecond : requestsPerSecond * (ownDemand / demand);
  return Math.max(leftOver, inProportion);
}
