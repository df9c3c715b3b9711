import type { ClientAccount } from '../client-accounts';

/** Types of the routes by host and path in one version of the configuration. */

/**
 * Repeatability of the requests of a route. An idempotent request may run more than once, a non-idempotent one at most
 * once. An event stream is non-idempotent unless it is resumable.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that a route sends requests to, with its share of them. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** A route. */
export interface HostRoute {
  readonly name: string;
  /** Host in lower case, without port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may continue at another backend server after its last complete event. */
  readonly isResumable: boolean;
  /** Timeout from the receipt of a request to its answer, ms. */
  readonly timeoutMs: number;
  /** Latency objective, ms: time to the complete answer or to the first event of a stream. */
  readonly objectiveMs: number;
  /** Maximum pause between two events of a stream that meets the objective, ms; undefined if any pause does. */
  readonly pauseObjectiveMs: number | undefined;
  /** Priority among routes; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Regions in which requests may be handled; empty if all are allowed. */
  readonly homeRegions: readonly string[];
  /** Whether the route accepts requests without a key even if the configuration has accounts. */
  readonly isPublic: boolean;
}

/** A service and the limits of its backend servers. */
export interface RoutedService {
  readonly name: string;
  /** Maximum number of connections to one backend server from all instances together. */
  readonly maxConnections: number;
  /** Time after its start for which a backend server counts as cold, ms; 0 if it never does. */
  readonly coldStartMs: number;
  /** Maximum requests per second to a cold backend server from all instances together; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Path of the health check of its backend servers. */
  readonly healthPath: string;
  /**
   * Time that a backend server takes to copy one prompt token from the cache of another one, ms; undefined if they
   * cannot copy.
   */
  readonly copyMsPerToken: number | undefined;
  /** Tokens of prompts and answers that a backend server can keep at a time; undefined if not stated. */
  readonly memoryTokens: number | undefined;
}

/** Limits on the size of client requests and on how slowly they may be sent. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the route table. */
export interface RouteTable {
  /** Increases with each version, not always by 1. */
  readonly version: number;
  readonly routes: readonly HostRoute[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: ClientLimits;
  /** Undefined if requests need no key. */
  readonly accounts: readonly ClientAccount[] | undefined;
  /** Accounts that could not be read, each with the reason; their keys belong to no account. */
  readonly damagedAccounts?: readonly string[];
}
