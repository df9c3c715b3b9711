import type { MemberState } from '../membership';

/**
 * Computes how large a share of callers each instance should get, from the load that instances report.
 *
 * Handles the case in which a few callers make most of the load: hashing spreads callers evenly, but not their
 * work. An instance with far more open requests than its share loses callers until its load is normal again.
 * The weights are coarse on purpose. With fine-grained weights, the load of the last second would move callers
 * at every exchange, each to an instance that has none of its prefixes cached, and instances that are queried
 * at different times would disagree.
 */

/**
 * Weight by multiple of the mean load. Hashing alone produces up to one and a half times the mean by chance
 * with a few dozen callers per instance. Above it, each step reduces the weight by a third, so that one step
 * moves a bounded part of the callers and the next exchange shows its effect.
 */
const WEIGHT_STEPS = [
  { upToTimesMean: 1.5, weight: 1 },
  { upToTimesMean: 2, weight: 0.66 },
  { upToTimesMean: 3, weight: 0.44 },
  { upToTimesMean: Infinity, weight: 0.3 },
] as const;

/** Mean number of open requests below which differences are noise: with so few, no request waits. */
const MIN_MEAN_REQUESTS = 8;

function weightOf(inFlightRequests: number, meanRequests: number): number {
  const timesMean = inFlightRequests / meanRequests;
  return WEIGHT_STEPS.find(({ upToTimesMean }) => timesMean <= upToTimesMean)?.weight ?? 1;
}

/** Returns the weight of each instance by its id, from 0.3 to 1. */
export function entryWeights(members: readonly MemberState[]): ReadonlyMap<string, number> {
  const total = members.reduce((sum, member) => sum + member.inFlightRequests, 0);
  const meanRequests = total / Math.max(1, members.length);
  return new Map(
    members.map((member) => [
      member.instanceId,
      meanRequests < MIN_MEAN_REQUESTS ? 1 : weightOf(member.inFlightRequests, meanRequests),
    ]),
  );
}
