import type { MemberState } from '../membership';

/**
 * How much of the callers each instance should draw, from the load that the instances tell of themselves.
 *
 * Answers a few callers that make most of the load: hashing spreads callers evenly, not their work. An instance
 * with far more open requests than its share loses callers until it is back. The weights are coarse on purpose.
 * Followed finely, the load of the last second would move callers with every exchange, each of them to an
 * instance that knows nothing of its prefixes, and the instances that ask at different times would disagree.
 */

/**
 * Weight for each multiple of the mean load. Up to one and a half times the mean is what hashing alone gives
 * by chance with a few dozen callers an instance; beyond it, each step takes away a third, so that one
 * step moves a bounded part of the callers and the next exchange shows what it did.
 */
const STEPS = [
  { upToTimesMean: 1.5, weight: 1 },
  { upToTimesMean: 2, weight: 0.66 },
  { upToTimesMean: 3, weight: 0.44 },
  { upToTimesMean: Infinity, weight: 0.3 },
] as const;

/** Mean open requests below which differences are noise: nobody waits on an instance with so few. */
const LEAST_MEAN_REQUESTS = 8;

function weightOf(inFlightRequests: number, meanRequests: number): number {
  const timesMean = inFlightRequests / meanRequests;
  return STEPS.find(({ upToTimesMean }) => timesMean <= upToTimesMean)?.weight ?? 1;
}

/** The weight of each instance by its id, from 0.3 to 1. */
export function entryWeights(members: readonly MemberState[]): ReadonlyMap<string, number> {
  const total = members.reduce((sum, member) => sum + member.inFlightRequests, 0);
  const meanRequests = total / Math.max(1, members.length);
  return new Map(
    members.map((member) => [
      member.instanceId,
      meanRequests < LEAST_MEAN_REQUESTS ? 1 : weightOf(member.inFlightRequests, meanRequests),
    ]),
  );
}
