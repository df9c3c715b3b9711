import type { ClientAccount } from '../client-accounts';

/** Routes that are chosen by host and path, as one numbered configuration holds them. */

/**
 * What may be repeated: an idempotent request may run more than once; a non-idempotent one at most once; an
 * event stream is non-idempotent unless it may be resumed.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** One service that a route leads to, with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** One route. */
export interface HostRoute {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether a broken stream may go on at another backend server after its last whole event. */
  readonly isResumable: boolean;
  /** Longest time that a request may be kept waiting, ms. */
  readonly timeoutMs: number;
  /** Latency objective: to the whole answer, or to the first event of a stream, ms. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is still in time, ms; undefined where any is. */
  readonly pauseObjectiveMs: number | undefined;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Regions to which the request is bound; empty where it is bound to none. */
  readonly homeRegions: readonly string[];
  /** Whether it takes requests without a key, where the configuration has accounts. */
  readonly isPublic: boolean;
}

/** One service with what its backend servers bear. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one backend server takes from all instances together. */
  readonly maxConnections: number;
  /** Time for which a backend server is cold after its start, ms; 0 where it never is. */
  readonly coldStartMs: number;
  /** Requests a second that a cold backend server bears from all instances together; 0 where unlimited. */
  readonly coldRequestsPerSecond: number;
  /** Path of the health check of its backend servers. */
  readonly healthPath: string;
  /**
   * Time that one of its backend servers takes to copy one prompt token from the cache of another, ms; undefined where
   * they cannot.
   */
  readonly copyMsPerToken: number | undefined;
}

/** What a client may send, and how slowly. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the routes. */
export interface RouteTable {
  /** Rises with each version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: ClientLimits;
  /** Undefined where requests need no key. */
  readonly accounts: readonly ClientAccount[] | undefined;
  /** Accounts that could not be read, each with the reason; their keys are held by nobody. */
  readonly damagedAccounts?: readonly string[];
}
