import type { CreateLimitPolicy } from '../../src/core/server-limits/testing/limit-fleet';
import { rankCandidates } from '../../src/core/rendezvous';
import type { ServerLimitsOptions } from '../../src/core/server-limits';

/** Ways to keep to a limit without asking another instance, to compare permits with. */

const MS_PER_S = 1_000;

/** Creates a policy that sends each server at most the rate that `shareOf` grants this instance. */
function createPolicyOfShares(
  { clock }: ServerLimitsOptions,
  shareOf: (serverId: string) => number,
): ReturnType<CreateLimitPolicy> {
  const limits = new Map<string, number>();
  const nextAtMs = new Map<string, number>();
  const waitMs = (serverId: string): number => {
    const perSecond = limits.get(serverId);
    if (perSecond === undefined) return 0;
    if (perSecond * shareOf(serverId) <= 0) return MS_PER_S;
    return Math.max(0, (nextAtMs.get(serverId) ?? 0) - clock.monotonicMs());
  };
  return {
    observe({ incarnationId, named }) {
      if (named.kind === 'limit') limits.set(incarnationId, named.perSecond);
      else if (named.kind === 'none') limits.delete(incarnationId);
    },
    waitMs,
    requestPermit(serverId, decide) {
      const perSecond = limits.get(serverId);
      if (perSecond !== undefined) {
        const intervalMs = MS_PER_S / (perSecond * shareOf(serverId));
        nextAtMs.set(serverId, clock.monotonicMs() + intervalMs);
      }
      decide({ kind: 'granted' });
    },
    receive: () => true,
    runDue() {},
  };
}

/** One instance of the region, chosen by rendezvous hashing, sends to a limited server. */
export const createChosenSender: CreateLimitPolicy = (options) =>
  createPolicyOfShares(options, (serverId) => {
    const ids = [options.self(), ...options.peers()].map(({ instanceId }) => instanceId);
    return rankCandidates(serverId, ids)[0] === options.self().instanceId ? 1 : 0;
  });

/** Each instance sends an equal part of the limit. */
export const createDividedShares: CreateLimitPolicy = (options) =>
  createPolicyOfShares(options, () => 1 / (options.peers().length + 1));
