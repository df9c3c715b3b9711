import type { StatedBrittleness } from '../brittle-servers';
import type { HeaderMap } from '../exchanges';
import type { RequestBody } from '../held-bytes';
import type { RouteKind } from '../host-routes';
import type { LoadReport, ModelDemand } from '../placement';
import type { NamedLimit } from '../server-limits';
import type { StatedDeparture } from '../server-notices';

/**
 * Names of the headers that callers and backend servers use, and parsers for the headers whose
 * values have a format of their own.
 */
export interface HeaderDialect {
  /** Identifies a request; backend servers repeat it in their answer. */
  readonly requestId: string;
  /** Id of the request whose answer began the stream that a caller takes up. */
  readonly resumedRequestId: string;
  /** Key of the caller's client account; never passed on. */
  readonly accountKey: string;
  /** Names the client account of a request to the backend server. */
  readonly accountName: string;
  /** Time until the caller gives up, ms. */
  readonly timeLeftMs: string;
  /** Id of the only backend server that may run the request. */
  readonly targetServer: string;
  /** Present if the backend server states that it did not run the request. */
  readonly notRun: string;
  /** Present on every answer that a backend server produced by running the request. */
  readonly signature: string;
  /** Priority of the request at the backend server; 0 is the most urgent. */
  readonly priority: string;
  /** Load that a backend server reports. */
  readonly load: string;
  /**
   * Time for which a backend server remains cold, ms; sent in answers to health checks. A server is
   * cold for a while after its start; while cold, it handles few requests per second.
   */
  readonly coldForMs: string;
  /** Time for which a refusal asks to send nothing, in the format of HTTP. */
  readonly retryAfter: string;
  /** Address of the backend server from whose cache the receiving server copies the prompt. */
  readonly copyPromptFrom: string;
  /** Headers that only the gateway sets; they are dropped from callers' requests. */
  readonly systemOnly: ReadonlySet<string>;
  /** Returns the demand of a request on a model; undefined if the headers do not state it. */
  readDemand(headers: HeaderMap): ModelDemand | undefined;
  /**
   * Returns the tokens of a request's prompt plus the maximum tokens of the answer that it
   * requests.
   */
  readTokenCount(headers: HeaderMap): TokenCount;
  readLoadReport(text: string): LoadReport | undefined;
  /** Returns the limit on its requests that a backend server names in an answer. */
  readLimit(headers: HeaderMap): NamedLimit;
  /** Returns whether a backend server states in an answer that it is leaving. */
  readDeparture(headers: HeaderMap): StatedDeparture;
  /** Returns how many rejections a backend server states that it bears. */
  readBrittleness(headers: HeaderMap): StatedBrittleness;
}

/** Number of tokens that a request states. */
export type TokenCount =
  | { readonly kind: 'unstated' }
  | { readonly kind: 'stated'; readonly tokens: number }
  | { readonly kind: 'malformed' };

/** A request whose headers and body have been read completely. */
export interface InboundRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path including the query, as sent. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** Time of arrival, monotonic ms. Earlier than the time of reading if the event loop was late. */
  readonly receivedAtMs: number;
  /** Id of the last event that the caller received of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  /** Id of the request that brought the first event of a stream that it resumes. */
  readonly resumedRequestId: string | undefined;
  readonly demand: ModelDemand | undefined;
}

/**
 * Settings of one request, from the route in force. They are sent along when another instance
 * serves the request.
 */
export interface RequestPlan {
  readonly route: string;
  /** Name of the client account that sent the request; undefined if it has none. */
  readonly account: string | undefined;
  readonly service: string;
  /**
   * Software version of the server that began the stream, at which alone it may go on; undefined if a server of any version
   * may serve the request.
   */
  readonly streamVersion?: string | undefined;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly priority: number;
  readonly objectiveMs: number;
  /**
   * Objective for the longest pause between two events of a stream, ms; undefined if there is none.
   */
  readonly pauseObjectiveMs: number | undefined;
  /** Maximum number of backend servers that the request may be sent to. */
  readonly maxAttempts: number;
  readonly homeRegions: readonly string[];
  /** Version of the routes that the plan was made from. */
  readonly routesVersion: number;
  /** Time at which the caller gives up, monotonic ms. */
  readonly deadlineAtMs: number;
  /** End of the route's timeout, monotonic ms. */
  readonly timeoutAtMs: number;
  /** Maximum time by which the caller may have sent the request later than these times suppose, ms; 0 by default. */
  readonly unsureMs?: number | undefined;
  /** Whether another instance forwarded the request, so that it must not be forwarded again. */
  readonly isForwarded: boolean;
  /** Whether other attempts of the request are in progress and silent, so that no silent server may get it. */
  readonly isHedge?: boolean | undefined;
}

/** Destinations that a request has been sent to or refused by, so that it is not sent there again. */
export interface TriedDestinations {
  /** Ids of backend server incarnations, and of instances of other regions. */
  readonly ids: ReadonlySet<string>;
  /**
   * Regions that refused the request. Their other instances are skipped, since they choose among
   * the same servers.
   */
  readonly refusingRegions: ReadonlySet<string>;
}

/** Writes the answer to one request. */
export interface ClientAnswer {
  readonly headSent: boolean;
  /**
   * Records how many backend servers the request has been sent to. Another instance gets the count
   * with the head.
   */
  recordAttempts(count: number): void;
  /**
   * Records the software version of the server that begins a stream, if it is known. Another instance gets it with the
   * head.
   */
  recordStreamVersion(softwareVersion: string | undefined): void;
  sendHead(status: number, headers: HeaderMap): void;
  /** Returns false if the client reads too slowly; wait for `onDrain` before sending more. */
  sendData(chunk: Uint8Array): boolean;
  end(): void;
  /**
   * Closes the connection before the end of the answer, so that the answer cannot be taken for
   * complete.
   */
  closeIncomplete(): void;
  /** Sends a refusal; only allowed before the head has been sent. */
  refuse(refusal: Refusal): void;
  onDrain(callback: () => void): void;
}

/** Reason why the caller gets no answer of a backend server. */
export type RefusalReason =
  | 'noRoutesYet'
  | 'noSuchRoute'
  | 'unknownKey'
  /** The home regions of its route and of its client account have no region in common. */
  | 'noRegion'
  /** The client account has used up its quota. */
  | 'overQuota'
  /** No instance that counts the usage of the client account can be reached. */
  | 'quotaUnknown'
  | 'headersTooLarge'
  | 'bodyTooLarge'
  | 'malformedRequest'
  | 'noServer'
  | 'overloaded'
  /** The limits that the servers name leave no room for the request now. */
  | 'serversLimited'
  /** All servers that could run the request have asked for a pause. */
  | 'serversPaused'
  /** No server of the software version that began the stream will serve any more. */
  | 'streamVersionGone'
  /** It is not known which of several software versions began the stream. */
  | 'streamVersionUnknown'
  /** This instance reaches no server, and knows no other instance that may serve the request. */
  | 'serversUnreachable'
  /** The body can't be held beside those of other requests. */
  | 'noRoomForBody'
  /** This instance gets too little processor time for its requests. */
  | 'instanceBehind'
  | 'stopping'
  | 'suspectedOfCrashes'
  | 'serverRefused'
  | 'serverFailed'
  | 'timedOut';

/** Refusal that a caller gets instead of an answer. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** `notRun` if the request provably has not run and never will. */
  readonly outcome: 'notRun' | 'unknown';
  /** Time after which the caller may retry, ms; undefined if a retry makes no sense. */
  readonly retryAfterMs: number | undefined;
}

/** Handle of a request that is being served. */
export interface ServedHandle {
  /** Cancels the request because its caller has left. */
  cancel(): void;
  /** Ends the request as at its deadline, because no time is left for it. */
  expire(): void;
}
