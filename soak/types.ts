import type { RouteKind } from '../src/core/host-routes';

/** One call of a caller, with what came back. */
export interface CallerAttempt {
  readonly requestId: string;
  readonly kind: RouteKind;
  readonly maxAttempts: number;
  /** The key that was sent. */
  readonly key: string;
  /** Undefined where the connection ended without the head of an answer. */
  readonly status: number | undefined;
  /** Whether the answer ended as HTTP says that it should. */
  readonly isWhole: boolean;
  readonly isSigned: boolean;
  readonly body: string;
}

/** One run of a request at a backend server. */
export interface ServerRun {
  readonly requestId: string;
  readonly serverId: string;
  /** Identifies the start of the server that ran it, as the instances' logs do. */
  readonly server: string;
  /** When the request arrived, Unix ms. */
  readonly atMs: number;
  /** The account that the server was told; undefined for none. */
  readonly account: string | undefined;
  /** Whether the server saw a key. */
  readonly sawKey: boolean;
}

/** A change of the limit that a server names. */
export interface NamedLimitChange {
  /** Identifies the start of the server. */
  readonly server: string;
  readonly atMs: number;
  /** Requests per second; undefined if it names none from now on. */
  readonly perSecond: number | undefined;
}

/** A promise that was broken, in words for whoever reads the report. */
export interface BrokenPromise {
  readonly promise:
    | 'ranTwice'
    | 'refusedButRan'
    | 'wrongAnswer'
    | 'tornStream'
    | 'tooManyServers'
    | 'notServedAgain'
    | 'wrongAccount'
    | 'keyPassedOn'
    | 'strangerServed'
    | 'routesWentBack'
    | 'routesBehind'
    | 'limitExceeded';
  readonly requestId: string;
  readonly detail: string;
}

/** What a run is made with. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  /** Where the instances' logs go. */
  readonly logFolder: string;
}

/** What came of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly faults: number;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly broken: readonly BrokenPromise[];
}
