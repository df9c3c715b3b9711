import type { AccountLimit } from './types';

/**
 * Returns the rate that this instance grants a caller: what remains after the demand at the other instances, and at
 * least a share in proportion to its own demand.
 *
 * While the total demand is within the limit, a caller may use all of the remainder at any instance, so changing
 * the entry instance costs it nothing. Once the demand exceeds the limit, the grants of all instances add up to the
 * limit.
 */
export function grantedPerSecond(
  { requestsPerSecond }: AccountLimit,
  ownDemand: number,
  othersDemand: number,
): number {
  const remaining = requestsPerSecond - othersDemand;
  const demand = ownDemand + othersDemand;
  const proportionalShare =
    demand === 0 ? requestsPerSecond : requestsPerSecond * (ownDemand / demand);
  return Math.max(remaining, proportionalShare);
}
