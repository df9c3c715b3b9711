/** Result of a health check of a backend server, or what the answer to a request shows about the server. */
export type ServerObservation =
  | { readonly kind: 'healthy'; readonly incarnation: string | undefined }
  /** The server reports that it accepts no new work. */
  | { readonly kind: 'draining'; readonly incarnation: string | undefined }
  | { readonly kind: 'failed'; readonly reason: string };

/**
 * Status of a server in the platform's list. Only `leaving` states an intention; the others are hints, since the
 * list lags behind the servers.
 */
export type ListStatus = 'unknown' | 'passing' | 'failing' | 'leaving' | 'missing';

/** Source of the evidence that a server is to get no new work. */
export type HealthCause = 'selfReported' | 'list' | 'checks' | 'peer';

/** Health of a server, which decides whether it may be sent new work. */
export type HealthState =
  | { readonly kind: 'usable' }
  | { readonly kind: 'draining'; readonly cause: HealthCause }
  | { readonly kind: 'down'; readonly cause: HealthCause };

/** Statement of another instance about a server, with the local time at which it was received. */
export interface PeerStatement {
  readonly origin: string;
  readonly kind: HealthState['kind'];
  readonly incarnation: string | undefined;
  readonly receivedAtMs: number;
  readonly expiresAtMs: number;
}

/** All evidence from which the health state of a server is evaluated. */
export interface ServerEvidence {
  /** Incarnation that the server reported last; undefined when it has reported none. */
  readonly incarnation: string | undefined;
  readonly reportsDraining: boolean;
  readonly failsChecks: boolean;
  readonly listStatus: ListStatus;
  /** Value of `incarnation` when the list began to show the server as `leaving`. */
  readonly leavingIncarnation: string | undefined;
  /** When this instance last received a good answer from the server; undefined when it never has. */
  readonly lastSuccessAtMs: number | undefined;
  readonly peerStatements: readonly PeerStatement[];
}

/** Health check settings of the servers of one service. */
export interface CheckRules {
  readonly path: string;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  readonly failuresToDown: number;
  readonly successesToUp: number;
  readonly slowStartMs: number;
}

/** Backend server with the settings of its health checks. */
export interface CheckedServer {
  readonly serverId: string;
  readonly address: string;
  readonly service: string;
  readonly rules: CheckRules;
}
