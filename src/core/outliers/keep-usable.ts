import type { RandomSource } from '../random';
import type { OutlierTracker } from './outlier-tracker';

/**
 * The servers that a request may go to now, or all of them when none may: where every server looks bad, one of
 * them is still better than a refusal.
 */
export function keepUsable<Server extends { readonly serverId: string }>(
  tracker: OutlierTracker,
  servers: readonly Server[],
  nowMs: number,
  random: RandomSource,
): readonly Server[] {
  const usable = servers.filter(({ serverId }) => tracker.mayUse(serverId, nowMs, random));
  return usable.length === 0 ? servers : usable;
}
