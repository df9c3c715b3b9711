import type { AccountShares } from '../account-shares';
import {
  chooseRegion,
  createPredictionCorrection,
  createPrefixCacheView,
  createRetryAfterSchedule,
  createServerLoads,
  createServiceSpeeds,
  createSizeAdmission,
  createSpillWindows,
} from '../placement';
import type { CachedParts } from '../load-sharing';
import type {
  ModelDemand,
  PredictionCorrection,
  PrefixCacheView,
  RefusedRequest,
  ServerLoads,
  ServerSpeeds,
  ServiceSpeeds,
  SpillWindows,
} from '../placement';
import { createPriorityAdmission } from '../priority-admission';
import { createRefusals } from '../server-notices';
import type { Refusals } from '../server-notices';
import { answerDeadlineMs, requestClassKey } from './forwarding';
import { createShareGate } from './share-gate';
import { createLocalServers } from './local-servers';
import type {
  LocalChoice,
  LocalChoices,
  LocalServersOptions,
  RestrictedServer,
} from './local-servers';
import { createOtherRegions } from './other-regions';
import type { ForwardPeer, OtherRegionsOptions } from './other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** The server because of which a request is refused. */
export type RefusalBasis =
  /** The best server of this region; its first byte would come too late, or the wait before it is too long. */
  | {
      readonly kind: 'tooSlow';
      readonly best: LocalChoice;
      /** Predicted time to the first byte without the computation of the request's own prompt, ms. */
      readonly waitMs: number;
      /** Maximum wait of the request by its priority, ms. */
      readonly maxWaitMs: number;
    }
  /** The server that may be asked first again, of those that may not be asked now. */
  | { readonly kind: 'restricted'; readonly server: RestrictedServer }
  /** The client account gets only a share of what it asks for, since the service is scarce. */
  | { readonly kind: 'overShare'; readonly admittedShare: number };

/** An instance of another region. */
export interface PeerDestination {
  readonly kind: 'peer';
  readonly peer: ForwardPeer;
  /** Free slots of its region for the service of the request. */
  readonly room?: number | undefined;
}

/** Next destination of a request. */
export type Destination =
  | ({ readonly kind: 'server' } & LocalChoice)
  | PeerDestination
  | {
      readonly kind: 'none';
      readonly reason: 'noServer' | 'overloaded' | 'serversLimited' | 'serversPaused';
      /** Time after which its caller may retry, ms; undefined if it could not be served before its deadline then. */
      readonly retryAfterMs: number | undefined;
      /** The server because of which the request is refused; undefined if there is none. */
      readonly basis: RefusalBasis | undefined;
    };

/** Chooses destinations for requests, and records their results for later choices. */
export interface Router {
  choose(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Destination;
  /** Returns the time until some server of this region may be sent the request, ms; 0 if that is so now. */
  waitMs(plan: RequestPlan): number;
  readonly loads: ServerLoads;
  readonly refusals: Refusals;
  readonly speeds: ServiceSpeeds;
  /** Speeds of single servers; undefined if all servers of a service count as equally fast. */
  readonly serverSpeeds: ServerSpeeds | undefined;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  readonly spillWindows: SpillWindows;
  /** Records that a request is sent to a server; callers that are refused are told to return at the rate of these. */
  recordAdmitted(plan: RequestPlan, nowMs: number): void;
  /** Records that a server has cached the prompt of a request from this instance. */
  recordPrompt(incarnationId: string, demand: ModelDemand): void;
  /** Records that servers have cached parts of prompts for other instances. */
  recordPeerCachedParts(parts: readonly CachedParts[]): void;
  /** Drops the records of all server incarnations except the given ones. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of `createRouter`. */
export type RouterOptions = Omit<
  LocalServersOptions,
  'loads' | 'refusals' | 'speeds' | 'prefixes' | 'correction'
> &
  Omit<OtherRegionsOptions, 'windows'> & {
    /** Record of refusals; a new one by default. */
    readonly refusals?: Refusals;
    /** Shares of accounts of scarce services; none by default. */
    readonly accountShares?: AccountShares;
    /** Whether the waits of less urgent requests are bounded while more urgent ones arrive. */
    readonly priorityAdmission: boolean;
    /** Called with the shared prompt parts that a server has cached for a request from this instance. */
    readonly onPartsCached: (incarnationId: string, partIds: readonly string[]) => void;
  };

/**
 * Maximum predicted time to the first byte of an admitted request, as a multiple of its latency
 * objective. Servers that get more than they can finish in time answer all of it late; a request
 * that is refused immediately can be retried, and the others are in time.
 */
const MAX_OBJECTIVE_MULTIPLE = 1;
/** Wait at a server with hardly any other work, as a share of the objective: a few steps of its batch. */
const MAX_IDLE_WAIT_SHARE = 0.1;
/** Retry delay if no server is known: servers announce themselves about every second. */
const NO_SERVER_RETRY_MS = 1_000;
/**
 * Minimum retry delay: a shorter one only repeats the refusal, since slots become free only every
 * few tens of ms.
 */
const MIN_RETRY_MS = 200;
/**
 * Maximum retry delay: callers have a few seconds in all, and follow a delay up to a third of them.
 */
const MAX_RETRY_MS = 2_000;
/** Time that a request needs at least when it returns, ms: a trip to a server and a short answer. */
const MIN_SERVING_MS = 100;

/** Returns the predicted time to the first byte without the computation of the request's own prompt, ms. */
function waitMsOf({ predictedMs, ownPrefillMs }: LocalChoice): number {
  return predictedMs - ownPrefillMs;
}

/**
 * Creates a router that sends requests to the servers of this region, or to instances of other
 * regions if requests are better served there.
 */
export function createRouter(options: RouterOptions): Router {
  const { coldServerLimiter } = options;
  const loads = createServerLoads();
  const refusals = options.refusals ?? createRefusals();
  const speeds = createServiceSpeeds();
  const prefixes = createPrefixCacheView();
  const correction = createPredictionCorrection();
  const spillWindows = createSpillWindows();
  const sizeAdmission = createSizeAdmission(options.draw);
  const priorityAdmission = createPriorityAdmission();
  /** Requests whose demand is recorded: a request is chosen a destination for again at each retry. */
  const recordedRequests = new WeakSet<InboundRequest>();
  const retrySchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const pauseSchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const shareSchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const shareGate = createShareGate(options.accountShares);
  const localServers = createLocalServers({
    ...options,
    loads,
    refusals,
    speeds,
    prefixes,
    correction,
  });
  const otherRegions = createOtherRegions({ ...options, windows: spillWindows });

  /** Records the demand of a request once. One that may not run in this region competes for no server here. */
  const recordDemand = (request: InboundRequest, plan: RequestPlan, nowMs: number): void => {
    if (recordedRequests.has(request)) return;
    recordedRequests.add(request);
    const mayRunHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(options.region);
    if (mayRunHere) priorityAdmission.recordDemand(plan, nowMs);
  };

  /** Returns the maximum wait of a request that is admitted here, ms. */
  const maxWaitMsOf = (plan: RequestPlan, nowMs: number): number =>
    options.priorityAdmission ? priorityAdmission.maxWaitMs(plan, nowMs) : plan.objectiveMs;

  /** Returns an instance of another region, if the request is better served there. */
  const choosePeer = (
    plan: RequestPlan,
    best: LocalChoice | undefined,
    maxWaitMs: number,
    tried: TriedDestinations,
  ): PeerDestination | undefined => {
    // A request is forwarded to another region at most once, so that it cannot circulate.
    if (plan.isForwarded) return undefined;
    const others = otherRegions.options(plan, tried);
    const choice = chooseRegion({
      localFirstByteMs: best?.predictedMs,
      objectiveMs: plan.objectiveMs,
      isOverMaxWait: best !== undefined && waitMsOf(best) > maxWaitMs,
      others,
      byRoom: otherRegions.roomInput(best?.ownPrefillMs ?? 0),
    });
    if (choice.kind !== 'remote') return undefined;
    const peer = otherRegions.pickPeer(choice.region, tried);
    const room = others.find(({ region }) => region === choice.region)?.room;
    return peer && { kind: 'peer', peer, room };
  };

  /**
   * Returns whether a request may be sent to a server, by the predicted time to its first byte
   * and the predicted wait there. The wait is without the computation of its own prompt, so that the bound by priority
   * refuses no prompt for its size. Records prompts that are in time, since the admission by size compares late ones to them.
   */
  const isAdmitted = (
    choice: LocalChoice,
    plan: RequestPlan,
    maxWaitMs: number,
    nowMs: number,
  ): boolean => {
    const { predictedMs, ownPrefillMs } = choice;
    const { objectiveMs } = plan;
    if (predictedMs > plan.deadlineAtMs - nowMs) return false;
    if (waitMsOf(choice) > maxWaitMs) return false;
    const kind = requestClassKey(plan);
    const isLate = predictedMs > objectiveMs * MAX_OBJECTIVE_MULTIPLE;
    if (isLate) {
      // The server would not be faster later, so that a refusal could not help.
      if (predictedMs - ownPrefillMs <= objectiveMs * MAX_IDLE_WAIT_SHARE) return true;
      return sizeAdmission.admits({ kind, predictedMs, ownPrefillMs, objectiveMs });
    }
    sizeAdmission.recordInTime(kind, ownPrefillMs);
    return true;
  };

  /** Returns what the retry schedule needs to know of a refused request. */
  const returnOf = (plan: RequestPlan, minDelayMs: number): RefusedRequest => ({
    service: plan.service,
    priority: plan.priority,
    minDelayMs,
    latestReturnAtMs: answerDeadlineMs(plan) - Math.min(MIN_SERVING_MS, plan.objectiveMs),
  });

  const refuse = (
    reason: (Destination & { kind: 'none' })['reason'],
    plan: RequestPlan,
    minDelayMs: number,
    nowMs: number,
    basis?: RefusalBasis,
  ): Destination => {
    // The instance that forwarded the request answers its caller. A place in the retry schedule
    // here would delay the callers of this region.
    const retryAfterMs = plan.isForwarded
      ? minDelayMs
      : retrySchedule.nextRetryAfterMs(returnOf(plan, minDelayMs), nowMs);
    return { kind: 'none', reason, retryAfterMs, basis };
  };

  /**
   * Refuses a request of an account that is over its share. These callers have a retry schedule of their own; in that of
   * all others, the many refusals of one account would delay the callers of the accounts within their share.
   */
  const refuseOverShare = (
    plan: RequestPlan,
    admittedShare: number,
    nowMs: number,
  ): Destination => ({
    kind: 'none',
    reason: 'overloaded',
    retryAfterMs: shareSchedule.nextRetryAfterMs(returnOf(plan, MIN_RETRY_MS), nowMs),
    basis: { kind: 'overShare', admittedShare },
  });

  /** Refuses a request because of what the servers of this region have stated. */
  const refuseRestricted = (
    plan: RequestPlan,
    server: RestrictedServer,
    nowMs: number,
  ): Destination => {
    const minDelayMs = Math.max(MIN_RETRY_MS, server.waitMs);
    const basis: RefusalBasis = { kind: 'restricted', server };
    switch (server.kind) {
      case 'limited':
        return refuse('serversLimited', plan, minDelayMs, nowMs, basis);
      case 'paused': {
        // No caller is told to return before the end of the pause, however long that is.
        const spreadMs = plan.isForwarded
          ? 0
          : pauseSchedule.nextRetryAfterMs(returnOf(plan, 0), nowMs + minDelayMs);
        const retryAfterMs = spreadMs === undefined ? undefined : minDelayMs + spreadMs;
        return { kind: 'none', reason: 'serversPaused', retryAfterMs, basis };
      }
      default:
        return server.kind satisfies never;
    }
  };

  /** Refuses a request that cannot be sent to any server of this region. */
  const refuseWithoutServer = (
    plan: RequestPlan,
    restricted: RestrictedServer | undefined,
    nowMs: number,
  ): Destination => {
    if (restricted !== undefined) return refuseRestricted(plan, restricted, nowMs);
    const hasServersElsewhere =
      !plan.isForwarded && otherRegions.regionsWithServers(plan).length > 0;
    return hasServersElsewhere
      ? refuse('overloaded', plan, MIN_RETRY_MS, nowMs)
      : refuse('noServer', plan, NO_SERVER_RETRY_MS, nowMs);
  };

  const chooseAmong = (
    { best, unreachable, restricted }: LocalChoices,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Destination => {
    const maxWaitMs = maxWaitMsOf(plan, nowMs);
    const peer = choosePeer(plan, best, maxWaitMs, tried);
    if (peer !== undefined) return peer;
    // If no server is reachable and no other region helps, a server that is only suspected to be
    // unreachable is the best choice.
    const choice = best ?? unreachable;
    if (choice === undefined) return refuseWithoutServer(plan, restricted, nowMs);
    if (!isAdmitted(choice, plan, maxWaitMs, nowMs)) {
      const waitMs = waitMsOf(choice);
      const excessMs = Math.max(choice.predictedMs - plan.objectiveMs, waitMs - maxWaitMs);
      const basis: RefusalBasis = { kind: 'tooSlow', best: choice, waitMs, maxWaitMs };
      return refuse('overloaded', plan, Math.max(MIN_RETRY_MS, excessMs), nowMs, basis);
    }
    const { server } = choice;
    if (server.coldUntilMs > nowMs) coldServerLimiter.recordSent(server.incarnationId, nowMs);
    return { kind: 'server', ...choice };
  };

  return {
    loads,
    refusals,
    speeds,
    serverSpeeds: options.serverSpeeds,
    prefixes,
    correction,
    spillWindows,
    choose(request, plan, tried, nowMs) {
      recordDemand(request, plan, nowMs);
      const choices = localServers.outlook(request, plan, tried, nowMs);
      const verdict = shareGate.check(request, plan, choices.best, nowMs);
      if (!verdict.isAdmitted) {
        // The account has its share of this region only; another one may have room for the request.
        const peer = choosePeer(plan, choices.best, 0, tried);
        return peer ?? refuseOverShare(plan, verdict.admittedShare, nowMs);
      }
      const destination = chooseAmong(choices, plan, tried, nowMs);
      shareGate.record(request, plan, choices.best, destination, nowMs);
      return destination;
    },
    waitMs: ({ service }) => localServers.waitMs(service),
    recordAdmitted(plan, nowMs) {
      retrySchedule.recordAdmitted(plan.service, nowMs);
      shareSchedule.recordAdmitted(plan.service, nowMs);
    },
    recordPrompt(incarnationId, demand) {
      prefixes.recordPrompt(incarnationId, demand);
      const shared = demand.parts.slice(0, -1).map(({ partId }) => partId);
      if (shared.length > 0) options.onPartsCached(incarnationId, shared);
    },
    recordPeerCachedParts(parts) {
      for (const { incarnationId, partIds } of parts) prefixes.recordParts(incarnationId, partIds);
    },
    keepOnly(known) {
      loads.keepOnly(known);
      refusals.keepOnly(known);
      prefixes.keepOnly(known);
      options.serverSpeeds?.keepOnly(known);
      coldServerLimiter.keepOnly(known);
    },
  };
}
