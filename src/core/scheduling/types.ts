import type { LimitRule } from '../admission';
import type { Priority } from '../configuration';
import type { RandomSource } from '../random';
import type { OpenWork, PoolServer, PrefixEvent, ServerChoice, ServerReport } from '../routing';
import type { EngineDemand, WorkEstimate } from '../work';

/** What a service's scheduler is made from. */
export interface SchedulerOptions {
  readonly kind: 'engine' | 'plain';
  readonly ownFailureDomain: string;
  readonly random: RandomSource;
  readonly batchShare: number;
  readonly batchLongestWaitMs: number;
  /** Wait that is still granted interactive work while the queue is a standing one, ms. */
  readonly standingWaitMs: number;
  /** How limits adapt; the gradient unless a measurement compares another. */
  readonly limitRule?: LimitRule;
}

/** A request as the scheduler sees it; `Item` is whatever its owner needs to go on with it. */
export interface ScheduledRequest<Item> {
  readonly item: Item;
  readonly callerId: string;
  readonly priority: Priority;
  readonly work: WorkEstimate;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Whether a server may have it: not ejected, not leaving, not failed for it before. */
  readonly mayUse: (serverId: string) => boolean;
}

/** A request whose turn has come, and the server that was chosen; its owner must call `end`. */
export interface Placement<Item> {
  readonly request: ScheduledRequest<Item>;
  readonly choice: ServerChoice;
  readonly open: OpenWork;
  /** Use of the server before the request was added, 0 to 1. */
  readonly utilisation: number;
  readonly waitedMs: number;
}

/** Why a request was not let in. */
export type RefusalReason =
  'no-server' | 'deadline-too-near' | 'wait-outlasts-deadline' | 'standing-queue';

/** What becomes of a request on arrival. */
export type Offer<Item> =
  | { readonly kind: 'run'; readonly placement: Placement<Item> }
  | { readonly kind: 'wait'; readonly expectedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly expectedWaitMs: number;
      /** When there is likely to be room. */
      readonly retryAtMs: number;
    };

/** A request that left the queue since it could no longer be whole in time. */
export interface ExpiredRequest<Item> {
  readonly request: ScheduledRequest<Item>;
  readonly retryAtMs: number;
}

/** How a placement ended. */
export type PlacementResult = 'answered' | 'withoutAnswer';

/** How long a request would wait here, for whoever weighs another region. */
export interface Outlook {
  /** Whether it would be refused. */
  readonly wouldRefuse: boolean;
  readonly expectedWaitMs: number;
  readonly expectedServiceMs: number;
  /** Work in flight against the limit, 0 to 1 and a little above. */
  readonly utilisation: number;
  readonly waitingRequests: number;
}

/** Admission, queue and routing of one service at this instance, without timers or sockets. */
export interface ServiceScheduler<Item> {
  /** Work of a request to an engine, by what its like have brought so far. */
  estimate(demand: EngineDemand): WorkEstimate;
  offer(request: ScheduledRequest<Item>, nowMs: number): Offer<Item>;
  /** Requests that may begin now; to be asked after each `end` and each change of the servers. */
  takeReady(nowMs: number): readonly Placement<Item>[];
  takeExpired(nowMs: number): readonly ExpiredRequest<Item>[];
  /** When `takeExpired` next has something; undefined when nothing waits. */
  nextExpiryAtMs(): number | undefined;
  /** Takes a waiting request out since its caller has gone. */
  remove(request: ScheduledRequest<Item>): void;
  firstByte(placement: Placement<Item>): void;
  end(placement: Placement<Item>, result: PlacementResult, nowMs: number): void;
  /** The answer's size, where it could be told. */
  noteOutput(placement: Placement<Item>, outputTokens: number): void;
  noteReport(serverId: string, report: ServerReport, nowMs: number): void;
  noteCacheEvent(event: PrefixEvent): void;
  /** A server has crashed: its cache is gone. */
  forgetCache(serverId: string): void;
  replaceServers(servers: readonly PoolServer[]): void;
  /** Whether any server may have the request at all, now or later. */
  canServe(request: ScheduledRequest<Item>): boolean;
  outlook(request: ScheduledRequest<Item>, nowMs: number): Outlook;
}
