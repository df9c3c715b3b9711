import type { ModelDemand } from '../placement';

/** What the record of causes needs to know of a request. */
export interface RequestWithParts {
  readonly service: string;
  readonly demand: ModelDemand | undefined;
}

/** A part of a prompt, by its digest. */
export interface SightedPart {
  readonly part: string;
  /** Share of the requests of the service that hold the part, from 0 to 1. */
  readonly share: number;
}

/** The end of one start of a server, as one instance saw it. */
export interface CrashSighting {
  /** Start of the server that crashed. */
  readonly serverId: string;
  readonly failureDomain: string;
  /** Time of the crash, monotonic ms of the instance that keeps the sighting. */
  readonly atMs: number;
  /** Requests of the reporting instance that the server had hardly begun to answer, whatever their parts. */
  readonly requests: number;
  /** Parts of these requests that may be the cause. */
  readonly parts: readonly SightedPart[];
}

/** A part that counts as the cause of crashes. */
export interface Conviction {
  readonly part: string;
  /** Crashes that led to it. */
  readonly crashes: number;
  /** Time of the first of these crashes, monotonic ms. */
  readonly firstCrashAtMs: number;
  /** Time until which requests with the part are refused, monotonic ms. */
  readonly untilMs: number;
}
