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
  ServerLoads,
  ServerSpeeds,
  ServiceSpeeds,
  SpillWindows,
} from '../placement';
import { createRefusals } from '../server-notices';
import type { Refusals } from '../server-notices';
import { requestClassKey } from './forwarding';
import { createLocalServers } from './local-servers';
import type { LocalChoice, LocalServersOptions, RestrictedServer } from './local-servers';
import { createOtherRegions } from './other-regions';
import type { ForwardPeer, OtherRegionsOptions } from './other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** The server because of which a request is refused. */
export type RefusalBasis =
  /** The best server of this region; its first byte would come too late. */
  | { readonly kind: 'tooSlow'; readonly best: LocalChoice }
  /** The server that may be asked first again, of those that may not be asked now. */
  | { readonly kind: 'restricted'; readonly server: RestrictedServer };

/** Next destination of a request. */
export type Destination =
  | ({ readonly kind: 'server' } & LocalChoice)
  | { readonly kind: 'peer'; readonly peer: ForwardPeer }
  | {
      readonly kind: 'none';
      readonly reason: 'noServer' | 'overloaded' | 'serversLimited' | 'serversPaused';
      readonly retryAfterMs: number;
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
    /** Called with the shared prompt parts that a server has cached for a request from this instance. */
    readonly onPartsCached: (incarnationId: string, partIds: readonly string[]) => void;
  };

/**
 * Maximum predicted time to the first byte of an admitted request, as a multiple of its latency
 * objective. Servers that get more than they can finish in time answer all of it late; a request
 * that is refused immediately can be retried, and the others are in time.
 */
const MAX_OBJECTIVE_MULTIPLE = 1;
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
  const retrySchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const pauseSchedule = createRetryAfterSchedule(MAX_RETRY_MS);
  const localServers = createLocalServers({
    ...options,
    loads,
    refusals,
    speeds,
    prefixes,
    correction,
  });
  const otherRegions = createOtherRegions({ ...options, windows: spillWindows });

  /** Returns an instance of another region, if the request is better served there. */
  const choosePeer = (
    plan: RequestPlan,
    localFirstByteMs: number | undefined,
    tried: TriedDestinations,
  ): ForwardPeer | undefined => {
    // A request is forwarded to another region at most once, so that it cannot circulate.
    if (plan.isForwarded) return undefined;
    const others = otherRegions.options(plan, tried);
    const chosenRegion = chooseRegion({ localFirstByteMs, objectiveMs: plan.objectiveMs, others });
    return chosenRegion.kind === 'remote'
      ? otherRegions.pickPeer(chosenRegion.region, tried)
      : undefined;
  };

  /**
   * Returns whether a request may be sent to a server, by the predicted time to its first byte
   * there. Records prompts that are in time, since the admission by size compares late ones to them.
   */
  const isAdmitted = (choice: LocalChoice, plan: RequestPlan, nowMs: number): boolean => {
    const { predictedMs, ownPrefillMs } = choice;
    const { objectiveMs } = plan;
    if (predictedMs > plan.deadlineAtMs - nowMs) return false;
    const kind = requestClassKey(plan);
    if (predictedMs > objectiveMs * MAX_OBJECTIVE_MULTIPLE) {
      return sizeAdmission.admits({ kind, predictedMs, ownPrefillMs, objectiveMs });
    }
    sizeAdmission.recordInTime(kind, ownPrefillMs);
    return true;
  };

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
      : retrySchedule.nextRetryAfterMs(requestClassKey(plan), minDelayMs, nowMs);
    return { kind: 'none', reason, retryAfterMs, basis };
  };

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
          : pauseSchedule.nextRetryAfterMs(requestClassKey(plan), 0, nowMs + minDelayMs);
        const retryAfterMs = minDelayMs + spreadMs;
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

  return {
    loads,
    refusals,
    speeds,
    serverSpeeds: options.serverSpeeds,
    prefixes,
    correction,
    spillWindows,
    choose(request, plan, tried, nowMs) {
      const { best, unreachable, restricted } = localServers.outlook(request, plan, tried, nowMs);
      const peer = choosePeer(plan, best?.predictedMs, tried);
      if (peer !== undefined) return { kind: 'peer', peer };
      // If no server is reachable and no other region helps, a server that is only suspected to be
      // unreachable is the best choice.
      const choice = best ?? unreachable;
      if (choice === undefined) return refuseWithoutServer(plan, restricted, nowMs);
      if (!isAdmitted(choice, plan, nowMs)) {
        const minDelayMs = Math.max(MIN_RETRY_MS, choice.predictedMs - plan.objectiveMs);
        return refuse('overloaded', plan, minDelayMs, nowMs, { kind: 'tooSlow', best: choice });
      }
      const { server } = choice;
      if (server.coldUntilMs > nowMs) coldServerLimiter.recordSent(server.incarnationId, nowMs);
      return { kind: 'server', ...choice };
    },
    waitMs: ({ service }) => localServers.waitMs(service),
    recordAdmitted(plan, nowMs) {
      retrySchedule.recordAdmitted(requestClassKey(plan), nowMs);
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
