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
  /** Time at which the latest of the requests with the part was sent, monotonic ms; undefined if that is not told. */
  readonly sentAtMs?: number | undefined;
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
  /** All parts of the request that was being tried there; empty if none was. */
  readonly triedParts: readonly string[];
}

/** A part that was at several crashes, and on which nothing has been answered since. */
export interface Suspicion {
  /** Crashes that can't have one cause other than the part. */
  readonly crashes: number;
  readonly firstCrashAtMs: number;
  /** Crashes under a request that was the only one with the part. */
  readonly failedTrials: number;
  /** Time at which this instance last learned of a crash with the part, monotonic ms. */
  readonly learnedAtMs: number;
  /** Parts that were at all of the crashes, itself included: any of them may be the cause. */
  readonly companions: readonly string[];
}

/** A request that is the only one of its kind at a server, to find out whether a part of it crashes servers. */
export interface PartTrial {
  /** All parts of the request. */
  readonly parts: readonly string[];
  /** Records that the answer has gone on past the moment at which servers crash. */
  recordSurvived(): void;
  /** Records that the request has ended, and that a crash under it, if there was one, has been recorded. */
  end(): void;
}

/** Why a request is not sent now. */
export interface HeldRequest {
  readonly part: string;
  /** Time from which it may be sent, monotonic ms. */
  readonly untilMs: number;
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
