import type { MembershipView } from '../membership';
import { isOnDuty } from './assign-checks';
import type { CheckedServer } from './types';

/**
 * Decides which duties of a region (health checks of servers, watches of server lists) this instance performs, given
 * the live instances that it knows of.
 */
export interface DutyRoster {
  /** Whether this instance is one of the `count` (default two) that perform a duty. */
  isOnDuty(duty: string, count?: number): boolean;
  /** Returns the servers that this instance checks. */
  servers(): readonly CheckedServer[];
  /** Clears the cached servers, after the servers of the region have changed. */
  reset(): void;
}

/**
 * Creates a roster over the servers that `allServers` returns. It is computed again only when instances or servers
 * change.
 */
export function createDutyRoster(
  membership: MembershipView,
  region: string,
  allServers: () => readonly CheckedServer[],
): DutyRoster {
  let cached: { readonly peers: string; readonly servers: readonly CheckedServer[] } | undefined;

  const livePeerIds = (): readonly string[] =>
    membership
      .usablePeers()
      .filter((peer) => peer.region === region)
      .map((peer) => peer.instanceId)
      .sort();

  return {
    isOnDuty: (duty, count) => isOnDuty(duty, membership.self().instanceId, livePeerIds(), count),
    servers() {
      const peerIds = livePeerIds();
      const peers = peerIds.join(' ');
      if (cached?.peers === peers) return cached.servers;
      const selfId = membership.self().instanceId;
      const servers = allServers().filter(({ serverId }) => isOnDuty(serverId, selfId, peerIds));
      cached = { peers, servers };
      return servers;
    },
    reset() {
      cached = undefined;
    },
  };
}
