import type { LimitRule } from '../admission';
import type { Priority } from '../configuration';
import type { RandomSource } from '../random';
import type { OpenWork, PoolServer, PrefixEvent, ServerChoice, ServerReport } from '../routing';
import type { EngineDemand, WorkEstimate } from '../work';

/** Options of the scheduler of a service. */
export interface SchedulerOptions {
  readonly kind: 'engine' | 'plain';
  readonly ownFailureDomain: string;
  readonly random: RandomSource;
  readonly batchShare: number;
  readonly batchLongestWaitMs: number;
  /** Maximum expected wait of interactive work while the queue is standing, ms. */
  readonly standingWaitMs: number;
  /** How limits adapt; the gradient rule by default. Measurements set it to compare other rules. */
  readonly limitRule?: LimitRule;
}

/** A request as the scheduler sees it. `Item` is what the scheduler's user needs to continue with the request. */
export interface ScheduledRequest<Item> {
  readonly item: Item;
  readonly callerId: string;
  readonly priority: Priority;
  readonly work: WorkEstimate;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /**
   * Returns whether a server may receive the request: it is not ejected or leaving, and has not failed for it
   * before.
   */
  readonly mayUse: (serverId: string) => boolean;
}

/** A request whose turn has come, and the server chosen for it. The user of the scheduler must call `end`. */
export interface Placement<Item> {
  readonly request: ScheduledRequest<Item>;
  readonly choice: ServerChoice;
  readonly open: OpenWork;
  /** Utilisation of the server before the request was added, 0 to 1. */
  readonly utilisation: number;
  readonly waitedMs: number;
}

/** Why a request was refused. */
export type RefusalReason =
  'no-server' | 'deadline-too-near' | 'wait-outlasts-deadline' | 'standing-queue';

/** Decision on a request on arrival. */
export type Offer<Item> =
  | { readonly kind: 'run'; readonly placement: Placement<Item> }
  | { readonly kind: 'wait'; readonly expectedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly expectedWaitMs: number;
      /** Time at which capacity is likely. */
      readonly retryAtMs: number;
    };

/** A request that left the queue because it could no longer complete in time. */
export interface ExpiredRequest<Item> {
  readonly request: ScheduledRequest<Item>;
  readonly retryAtMs: number;
}

/** How a placement ended. */
export type PlacementResult = 'answered' | 'withoutAnswer';

/** Predicted wait and load of a request here, for comparison with another region. */
export interface Outlook {
  /** Whether the request would be refused. */
  readonly wouldRefuse: boolean;
  readonly expectedWaitMs: number;
  readonly expectedServiceMs: number;
  /** Work in flight relative to the limit, from 0 to slightly above 1. */
  readonly utilisation: number;
  readonly waitingRequests: number;
}

/** Admission, queueing and routing of one service at this instance, without timers or sockets. */
export interface ServiceScheduler<Item> {
  /** Estimates the work of a request to an engine, from the answers to similar requests so far. */
  estimate(demand: EngineDemand): WorkEstimate;
  /** Decides on a request that arrives: it runs now, waits in the queue or is refused. */
  offer(request: ScheduledRequest<Item>, nowMs: number): Offer<Item>;
  /** Returns the requests that may start now. Call it after each `end` and each change of the servers. */
  takeReady(nowMs: number): readonly Placement<Item>[];
  /** Removes and returns the waiting requests that can no longer complete before their deadline. */
  takeExpired(nowMs: number): readonly ExpiredRequest<Item>[];
  /** Returns the time at which `takeExpired` next has a result; undefined when nothing waits. */
  nextExpiryAtMs(): number | undefined;
  /** Removes a waiting request because its caller has disconnected. */
  remove(request: ScheduledRequest<Item>): void;
  /** Records that the answer has begun, so the server has processed the prompt. */
  recordFirstByte(placement: Placement<Item>): void;
  /** Frees the capacity of a placement and, if it was answered, learns from its latency. */
  end(placement: Placement<Item>, result: PlacementResult, nowMs: number): void;
  /** Records the size of the answer, where it is known. */
  recordOutput(placement: Placement<Item>, outputTokens: number): void;
  recordReport(serverId: string, report: ServerReport, nowMs: number): void;
  recordCacheEvent(event: PrefixEvent): void;
  /** Forgets the cache contents of a server that has crashed. */
  removeCacheRecords(serverId: string): void;
  replaceServers(servers: readonly PoolServer[]): void;
  /** Returns whether any server may receive the request at all, now or later. */
  canServe(request: ScheduledRequest<Item>): boolean;
  outlook(request: ScheduledRequest<Item>, nowMs: number): Outlook;
}
