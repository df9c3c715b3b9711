import type { ConnectionPool } from '../exchanges';
import { rankFor } from '../rendezvous';
import type { ForwardPeer } from './other-regions';

/** Keeps connections to instances of other regions open before a request needs them. */
export interface ReadyConnections {
  /** Opens those that are missing. */
  refill(): void;
}

/** What they are kept with. */
export interface ReadyConnectionsOptions {
  readonly selfId: string;
  readonly region: string;
  readonly pool: Pick<ConnectionPool, 'count' | 'send'>;
  readonly peers: () => readonly ForwardPeer[];
  /** Path on the listener of other instances that answers at once. */
  readonly path: string;
}

/** Instances of each other region to which connections are kept; one may go at any time, and its work finds the next. */
const PARTNERS_PER_REGION = 2;
/** Connections kept to each: requests that leave a region within one round trip of the longest links, in calm times. */
const CONNECTIONS_PER_PARTNER = 3;
/** Time for a connection, ms; several round trips of the longest links. */
const CONNECT_TIMEOUT_MS = 800;

const IGNORE_ANSWER = { onHead() {}, onData() {}, onEnd() {} };

/**
 * Connections that are opened by the first refill.
 *
 * Making a connection to another region takes a round trip before the request can leave. One notices requests to other
 * regions that take three times their way, mostly in the first seconds of a peak or after a start, when most of them
 * need a new connection. Each instance has partners of its own, drawn by a hash, so that the number
 * of connections does not grow with the fleet.
 */
export function createReadyConnections(options: ReadyConnectionsOptions): ReadyConnections {
  const { selfId, region, pool, path } = options;

  const partners = (): readonly ForwardPeer[] => {
    const others = options.peers().filter((peer) => peer.region !== region);
    const regions = [...new Set(others.map((peer) => peer.region))];
    return regions.flatMap((other) => {
      const there = others.filter((peer) => peer.region === other);
      const ids = rankFor(
        selfId,
        there.map((peer) => peer.instanceId),
      ).slice(0, PARTNERS_PER_REGION);
      return there.filter((peer) => ids.includes(peer.instanceId));
    });
  };

  const openOne = (address: string): void => {
    pool.send(
      address,
      {
        mostConnections: CONNECTIONS_PER_PARTNER,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        // No kept connection is used, so that each of these makes a new one.
        mostIdleMs: -1,
      },
      { method: 'GET', path, headers: [], body: new Uint8Array() },
      IGNORE_ANSWER,
    );
  };

  return {
    refill() {
      for (const { forwardAddress } of partners()) {
        const missing = CONNECTIONS_PER_PARTNER - pool.count(forwardAddress);
        for (let count = 0; count < missing; count += 1) openOne(forwardAddress);
      }
    },
  };
}
