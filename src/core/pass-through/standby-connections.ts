import type { Clock } from '../clock';
import { sendIgnoringAnswer } from '../exchanges';
import type { ConnectionPool } from '../exchanges';
import { rankCandidates } from '../rendezvous';
import type { ForwardPeer } from './other-regions';

/** Keeps connections to instances of other regions open before requests need them. */
export interface StandbyConnections {
  /** Opens the missing connections. */
  refill(): void;
}

/** Options of `createStandbyConnections`. */
export interface StandbyConnectionsOptions {
  readonly clock: Pick<Clock, 'monotonicMs' | 'schedule'>;
  readonly selfId: string;
  readonly region: string;
  readonly pool: Pick<ConnectionPool, 'count' | 'send'>;
  readonly peers: () => readonly ForwardPeer[];
  /** Path on the listener of other instances that is answered immediately. */
  readonly path: string;
}

/** Instances per other region to keep connections to. If one stops, its requests can use the other. */
const PARTNERS_PER_REGION = 2;
/**
 * Connections to keep open per instance: the requests that leave a region within one round trip of
 * the longest links at normal load.
 */
const CONNECTIONS_PER_PARTNER = 3;
/** Connect timeout, ms: several round trips of the longest links. */
const CONNECT_TIMEOUT_MS = 800;

/**
 * Creates a set of standby connections; the first `refill` opens them.
 *
 * Opening a connection to another region takes a round trip before the request can be sent. Without
 * standby connections, requests to other regions take three times the one-way delay, mostly in the
 * first seconds of a peak or after a start, when most of them need a new connection. Each instance
 * chooses partners of its own by a hash, so that the number of connections does not grow with the
 * fleet.
 */
export function createStandbyConnections(options: StandbyConnectionsOptions): StandbyConnections {
  const { clock, selfId, region, pool, path } = options;

  const partners = (): readonly ForwardPeer[] => {
    const others = options.peers().filter((peer) => peer.region !== region);
    const regions = [...new Set(others.map((peer) => peer.region))];
    return regions.flatMap((other) => {
      const there = others.filter((peer) => peer.region === other);
      const ids = rankCandidates(
        selfId,
        there.map((peer) => peer.instanceId),
      ).slice(0, PARTNERS_PER_REGION);
      return there.filter((peer) => ids.includes(peer.instanceId));
    });
  };

  const openConnection = (address: string): void => {
    sendIgnoringAnswer(
      pool,
      clock,
      address,
      {
        maxConnections: CONNECTIONS_PER_PARTNER,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        // Reuses no idle connection, so that each of these requests opens a new one.
        maxIdleMs: -1,
      },
      { method: 'GET', path, headers: [], body: new Uint8Array() },
    );
  };

  return {
    refill() {
      for (const { forwardAddress } of partners()) {
        const missing = CONNECTIONS_PER_PARTNER - pool.count(forwardAddress);
        for (let count = 0; count < missing; count += 1) openConnection(forwardAddress);
      }
    },
  };
}
