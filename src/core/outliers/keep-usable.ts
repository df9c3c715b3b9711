import type { RandomSource } from '../random';
import type { OutlierTracker } from './outlier-tracker';

/**
 * Returns the servers that a request may use now, or all of them if none is usable: if every server appears
 * bad, trying one is still better than refusing the request.
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
