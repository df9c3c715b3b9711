import type { ConnectionPool } from '../exchanges';
import type { ServiceRequests } from '../membership';
import type { RegionOption, SpillWindows } from '../placement';
import type { ServerRegistry } from '../server-registry';
import { regionRoom } from './region-room';
import type { RequestPlan, TriedDestinations } from './types';

/** Another instance that can serve requests in its region. */
export interface ForwardPeer {
  readonly instanceId: string;
  readonly region: string;
  /** Address that accepts forwarded requests, `HOST:PORT`. */
  readonly forwardAddress: string;
  readonly inFlightRequests: number;
  /** See `MemberState.openRequestsByService`. */
  readonly openRequestsByService?: readonly ServiceRequests[] | undefined;
}

/** Chooses among the other regions in which a request may be served. */
export interface OtherRegions {
  /** Returns the regions that have servers for a request, whether or not they may be sent more now. */
  regionsWithServers(plan: RequestPlan): readonly string[];
  /** Returns the free slots for a request in other regions that may serve it, as far as they have reported. */
  freeSlots(plan: RequestPlan): number;
  /** Returns the regions that have servers for a request and may be sent more now. */
  options(plan: RequestPlan, tried: TriedDestinations): readonly RegionOption[];
  /**
   * Returns an instance of the region that has not been tried; undefined if there is none. Prefers
   * an instance with an open connection: opening one takes two more one-way trips over the long
   * link. With the choice by room, the one with fewer open requests of two random ones.
   */
  pickPeer(region: string, tried: TriedDestinations): ForwardPeer | undefined;
  /** Returns an instance of this region that has not been tried, the one with fewer requests of two random ones. */
  pickPeerHere(tried: TriedDestinations): ForwardPeer | undefined;
  /** Returns the random source of the draw by room; undefined if that is turned off. */
  roomDraw(): (() => number) | undefined;
}

/** Options of `createOtherRegions`. */
export interface OtherRegionsOptions {
  /** The region of this instance. */
  readonly region: string;
  readonly servers: ServerRegistry;
  readonly windows: SpillWindows;
  readonly pool: Pick<ConnectionPool, 'hasIdleConnection'>;
  /** Returns the other instances that requests may be forwarded to. */
  readonly peers: () => readonly ForwardPeer[];
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
  /**
   * Whether requests that leave this region are divided over the others by room; true if not given. If
   * off, they go to the region with the least open requests of all services per slot.
   */
  readonly regionalRoom?: () => boolean;
}

/**
 * Maximum idle time of a reused connection to an instance, ms. Instances close idle connections
 * after a minute, and TCP probes them from the first second on, so that a silent connection is
 * closed within about ten seconds.
 */
export const PEER_IDLE_MS = 45_000;

/** Creates a chooser that rates other regions by the reports and answers of their instances. */
export function createOtherRegions(options: OtherRegionsOptions): OtherRegions {
  const { region, servers, windows, pool, draw } = options;
  const usesRoom = options.regionalRoom ?? (() => true);

  const isAllowedIn = ({ homeRegions }: RequestPlan, other: string): boolean =>
    homeRegions.length === 0 || homeRegions.includes(other);

  // A stream that has begun may have servers of its version only there, while a new request has others. Few streams are
  // taken up at a time, and the instance there still refuses what its servers can't take.
  const hasCapacity = ({ service, streamVersion }: RequestPlan, other: string): boolean =>
    streamVersion !== undefined || windows.hasCapacity(service, other);

  const totalUtilization = (other: string, peers: readonly ForwardPeer[]): number => {
    const slots = servers
      .all()
      .filter((server) => server.region === other && !server.isDraining)
      .reduce((sum, server) => sum + server.slots, 0);
    const inFlight = peers
      .filter((peer) => peer.region === other)
      .reduce((sum, peer) => sum + peer.inFlightRequests, 0);
    return inFlight / Math.max(1, slots);
  };

  const toOption = (
    { service }: RequestPlan,
    other: string,
    peers: readonly ForwardPeer[],
  ): RegionOption => {
    const there = peers.filter((peer) => peer.region === other);
    const ofService = regionRoom(service, servers.usable(service, other), there);
    return usesRoom()
      ? { region: other, ...ofService }
      : { region: other, room: ofService.room, utilization: totalUtilization(other, peers) };
  };

  /** Returns the candidate with fewer open requests of two random ones (power of two choices). */
  const lessBusy = (candidates: readonly ForwardPeer[]): ForwardPeer | undefined => {
    const firstIndex = Math.floor(draw() * candidates.length);
    const first = candidates[firstIndex];
    const others = candidates.filter((_candidate, index) => index !== firstIndex);
    const second = others[Math.floor(draw() * others.length)];
    if (first === undefined || second === undefined) return first;
    return second.inFlightRequests < first.inFlightRequests ? second : first;
  };

  const regionsWithServers = (plan: RequestPlan): readonly string[] => {
    const regions = new Set(options.peers().map((peer) => peer.region));
    return [...regions]
      .filter((other) => other !== region && isAllowedIn(plan, other))
      .filter((other) => servers.usable(plan.service, other, plan.streamVersion).length > 0);
  };

  const peersIn = (inRegion: string, tried: TriedDestinations): readonly ForwardPeer[] =>
    options.peers().filter((peer) => peer.region === inRegion && !tried.ids.has(peer.instanceId));

  return {
    regionsWithServers,
    freeSlots(plan) {
      const peers = options.peers();
      return regionsWithServers(plan)
        .map((other) => toOption(plan, other, peers).room)
        .reduce((sum, room) => sum + room, 0);
    },
    options(plan, tried) {
      const peers = options.peers();
      return regionsWithServers(plan)
        .filter((other) => !tried.refusingRegions.has(other))
        .filter((other) => hasCapacity(plan, other))
        .filter((other) => peersIn(other, tried).length > 0)
        .map((other) => toOption(plan, other, peers));
    },
    pickPeer(inRegion, tried) {
      const peers = peersIn(inRegion, tried);
      const connected = peers.filter((peer) =>
        pool.hasIdleConnection(peer.forwardAddress, PEER_IDLE_MS),
      );
      const choices = connected.length > 0 ? connected : peers;
      return usesRoom() ? lessBusy(choices) : choices[Math.floor(draw() * choices.length)];
    },
    pickPeerHere: (tried) => lessBusy(peersIn(region, tried)),
    roomDraw: () => (usesRoom() ? draw : undefined),
  };
}
