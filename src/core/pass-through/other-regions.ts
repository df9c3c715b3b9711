import type { ConnectionPool } from '../exchanges';
import type { RegionOption, SpillWindows } from '../placement';
import type { ServerRegistry } from '../server-registry';
import type { RequestPlan, TriedDestinations } from './types';

/** Another instance that can serve requests in its region. */
export interface ForwardPeer {
  readonly instanceId: string;
  readonly region: string;
  /** Where it takes forwarded requests, `HOST:PORT`. */
  readonly forwardAddress: string;
  readonly inFlightRequests: number;
}

/** The other regions, as far as a request may be served there. */
export interface OtherRegions {
  /** Regions that have servers for a request, whether they may be sent more now or not. */
  withServers(plan: RequestPlan): readonly string[];
  /** Those of them that may be sent more now. */
  options(plan: RequestPlan, tried: TriedDestinations): readonly RegionOption[];
  /**
   * One instance there that has not been tried, best one to which a connection stands: making one takes two more ways
   * over the long link. Undefined where there is none.
   */
  pickPeer(region: string, tried: TriedDestinations): ForwardPeer | undefined;
}

/** What they are judged by. */
export interface OtherRegionsOptions {
  /** The region of this instance. */
  readonly region: string;
  readonly servers: ServerRegistry;
  readonly windows: SpillWindows;
  readonly pool: Pick<ConnectionPool, 'hasIdle'>;
  /** Other instances that may be given work. */
  readonly peers: () => readonly ForwardPeer[];
  /** A number from 0 up to 1. */
  readonly draw: () => number;
}

/**
 * Idle time within which a kept connection to an instance is used, ms. Instances close theirs after a minute, and TCP
 * probes them from the first second on, so that one that has gone silent is closed within some ten.
 */
export const PEER_IDLE_MS = 45_000;

/** Judges other regions by what their instances tell and how they answer. */
export function createOtherRegions(options: OtherRegionsOptions): OtherRegions {
  const { region, servers, windows, pool, draw } = options;

  const mayBeThere = ({ homeRegions }: RequestPlan, other: string): boolean =>
    homeRegions.length === 0 || homeRegions.includes(other);

  const utilization = (other: string, peers: readonly ForwardPeer[]): number => {
    // Instances tell what they have open at all services together, so all slots of the region count.
    const slots = servers
      .all()
      .filter((server) => server.region === other && !server.isDraining)
      .reduce((sum, server) => sum + server.slots, 0);
    const inFlight = peers
      .filter((peer) => peer.region === other)
      .reduce((sum, peer) => sum + peer.inFlightRequests, 0);
    return inFlight / Math.max(1, slots);
  };

  const withServers = (plan: RequestPlan): readonly string[] => {
    const regions = new Set(options.peers().map((peer) => peer.region));
    return [...regions]
      .filter((other) => other !== region && mayBeThere(plan, other))
      .filter((other) => servers.usable(plan.service, other).length > 0);
  };

  return {
    withServers,
    options(plan, tried) {
      const peers = options.peers();
      return withServers(plan)
        .filter((other) => !tried.refusingRegions.has(other))
        .filter((other) => windows.hasRoom(plan.service, other))
        .map((other) => ({ region: other, utilization: utilization(other, peers) }));
    },
    pickPeer(inRegion, tried) {
      const peers = options
        .peers()
        .filter((peer) => peer.region === inRegion && !tried.ids.has(peer.instanceId));
      const connected = peers.filter((peer) => pool.hasIdle(peer.forwardAddress, PEER_IDLE_MS));
      const among = connected.length > 0 ? connected : peers;
      return among[Math.floor(draw() * among.length)];
    },
  };
}
