import type { MembershipView } from '../membership';
import { isOnDuty } from './assign-checks';
import type { CheckedServer } from './types';

/** Which duties of a region fall to this instance, by the live instances that it knows. */
export interface DutyRoster {
  /** Whether this instance is one of the `count` (two) that do a duty. */
  isOnDuty(duty: string, count?: number): boolean;
  /** Servers that this instance checks. */
  servers(): readonly CheckedServer[];
  /** Forgets what was worked out, when the servers of the region have changed. */
  reset(): void;
}

/** A roster over the servers that `allServers` gives; worked out anew only when instances or servers change. */
export function createDutyRoster(
  membership: MembershipView,
  region: string,
  allServers: () => readonly CheckedServer[],
): DutyRoster {
  let known: { readonly peers: string; readonly servers: readonly CheckedServer[] } | undefined;

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
      if (known?.peers === peers) return known.servers;
      const selfId = membership.self().instanceId;
      const servers = allServers().filter(({ serverId }) => isOnDuty(serverId, selfId, peerIds));
      known = { peers, servers };
      return servers;
    },
    reset() {
      known = undefined;
    },
  };
}
