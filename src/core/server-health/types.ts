/** What one answer, or the lack of one, says about a backend server. */
export type ServerObservation =
  | { readonly kind: 'healthy'; readonly incarnation: string | undefined }
  /** The server itself says that it takes no new work. */
  | { readonly kind: 'draining'; readonly incarnation: string | undefined }
  | { readonly kind: 'failed'; readonly reason: string };

/** How the platform's list has a server. Only `leaving` is an intention; the others are hints, since it lags. */
export type ListStatus = 'unknown' | 'passing' | 'failing' | 'leaving' | 'missing';

/** How it is known that a server takes no new work. */
export type HealthCause = 'selfReported' | 'list' | 'checks' | 'peer';

/** Whether a server may be given new work. */
export type HealthState =
  | { readonly kind: 'usable' }
  | { readonly kind: 'draining'; readonly cause: HealthCause }
  | { readonly kind: 'down'; readonly cause: HealthCause };

/** What another instance says about a server, as it was taken in here. */
export interface PeerMark {
  readonly origin: string;
  readonly kind: HealthState['kind'];
  readonly incarnation: string | undefined;
  readonly receivedAtMs: number;
  readonly expiresAtMs: number;
}

/** Everything that a server's health state rests on. */
export interface ServerEvidence {
  /** The start of the server that was last seen, where servers tell it. */
  readonly incarnation: string | undefined;
  readonly saysDraining: boolean;
  readonly failsChecks: boolean;
  readonly listStatus: ListStatus;
  /** The start that was known when the list first said `leaving`. */
  readonly leavingIncarnation: string | undefined;
  /** When this instance itself last had a good answer; undefined for never. */
  readonly lastSuccessAtMs: number | undefined;
  readonly peerMarks: readonly PeerMark[];
}

/** How the servers of one service are checked. */
export interface CheckRules {
  readonly path: string;
  readonly intervalMs: number;
  readonly timeoutMs: number;
  readonly failuresToDown: number;
  readonly successesToUp: number;
  readonly slowStartMs: number;
}

/** A backend server as its health is looked at. */
export interface CheckedServer {
  readonly serverId: string;
  readonly address: string;
  readonly service: string;
  readonly rules: CheckRules;
}
