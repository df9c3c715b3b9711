import type { HeaderMap } from '../exchanges';
import type { RouteKind } from '../host-routes';
import type { LoadReport, ModelDemand } from '../placement';

/** The header names that callers and backend servers use, and how those with a form of their own are read. */
export interface HeaderDialect {
  /** Names a request; backend servers repeat it in their answer. */
  readonly requestId: string;
  /** A caller's key, which is never passed on. */
  readonly accountKey: string;
  /** Tells a backend server whose request it runs. */
  readonly accountName: string;
  /** Time that the caller still waits, ms. */
  readonly timeLeftMs: string;
  /** The backend server that alone may run the request. */
  readonly targetServer: string;
  /** Present where a backend server says that it did not run the request. */
  readonly notRun: string;
  /** Present on each answer that a backend server made by running the request. */
  readonly signature: string;
  /** Urgency at the backend server; 0 is the most urgent. */
  readonly priority: string;
  /** A backend server's load. */
  readonly load: string;
  /** Time for which a backend server is still cold, ms, in its answers to health checks. */
  readonly coldForMs: string;
  /** Address of the backend server from whose cache the one that gets the request is to copy its prompt. */
  readonly copyPromptFrom: string;
  /** Set by this system alone; dropped where a caller sends them. */
  readonly systemOnly: ReadonlySet<string>;
  /** What a request asks of a model; undefined where it does not say. */
  readDemand(headers: HeaderMap): ModelDemand | undefined;
  /** Tokens of a request's prompt and of the longest answer that it asks for, together. */
  readTokenCount(headers: HeaderMap): TokenCount;
  readLoadReport(text: string): LoadReport | undefined;
}

/** How many tokens a request says that it asks for. */
export type TokenCount =
  | { readonly kind: 'unstated' }
  | { readonly kind: 'stated'; readonly tokens: number }
  | { readonly kind: 'malformed' };

/** A request that has been read whole. */
export interface InboundRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with its query, as sent. */
  readonly path: string;
  /** Names and values by turns, those that concern one connection left out. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** When it came, monotonic ms: before it was read, where the process was behind. */
  readonly receivedAtMs: number;
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  readonly demand: ModelDemand | undefined;
}

/** What the route in force says of one request. It goes along when another instance serves the request. */
export interface RequestPlan {
  readonly route: string;
  /** Name of the account that sent it; undefined where nobody has to be known. */
  readonly account: string | undefined;
  readonly service: string;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly priority: number;
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that is still in time, ms; undefined where any is. */
  readonly pauseObjectiveMs: number | undefined;
  /** Backend servers to which it may be sent. */
  readonly maxAttempts: number;
  readonly homeRegions: readonly string[];
  /** Version of the routes that it was made from. */
  readonly routesVersion: number;
  /** When the caller gives up, monotonic ms. */
  readonly deadlineAtMs: number;
  /** When the route's timeout ends, monotonic ms. */
  readonly timeoutAtMs: number;
  /** Whether another instance sent it here, so that it may not be sent on. */
  readonly isForwarded: boolean;
}

/** What one request has been through, so that it is not sent there again. */
export interface TriedDestinations {
  /** Backend servers, and instances of other regions. */
  readonly ids: ReadonlySet<string>;
  /** Regions that refused it: their other instances would look at the same servers. */
  readonly refusingRegions: ReadonlySet<string>;
}

/** Where an answer is written to. */
export interface ClientAnswer {
  readonly headSent: boolean;
  /** Says how many backend servers the request has been sent to; another instance is told with the head. */
  noteAttempts(count: number): void;
  sendHead(status: number, headers: HeaderMap): void;
  /** False when the reader is slow; `onDrain` is called when it has caught up. */
  sendData(chunk: Uint8Array): boolean;
  end(): void;
  /** Ends the connection, so that the answer does not look whole. */
  breakOff(): void;
  /** Refuses a request whose head has not been sent. */
  refuse(refusal: Refusal): void;
  onDrain(callback: () => void): void;
}

/** Why no answer of a backend server is passed on. */
export type RefusalReason =
  | 'noRoutesYet'
  | 'noSuchRoute'
  | 'unknownKey'
  /** Its route and its account may be handled in no region in common. */
  | 'noRegion'
  /** Its account has spent its quota. */
  | 'overQuota'
  /** Nobody who counts what its account spends can be reached. */
  | 'quotaUnknown'
  | 'headersTooLarge'
  | 'bodyTooLarge'
  | 'malformedRequest'
  | 'noServer'
  | 'overloaded'
  /** This instance itself has more to do than it gets processor time for. */
  | 'instanceBehind'
  | 'stopping'
  | 'suspectedOfCrashes'
  | 'serverRefused'
  | 'serverFailed'
  | 'timedOut';

/** What a caller is told in place of an answer. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Whether the request provably has not run and never will. */
  readonly outcome: 'notRun' | 'unknown';
  /** When to come back, where that makes sense, ms. */
  readonly retryAfterMs: number | undefined;
}
