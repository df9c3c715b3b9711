import {
  chooseRegion,
  createPredictionCorrection,
  createPrefixCacheView,
  createReturnSchedule,
  createServerLoads,
  createServicePaces,
  createSizeAdmission,
  createSpillWindows,
} from '../placement';
import type { ReadParts } from '../load-sharing';
import type {
  ModelDemand,
  PredictionCorrection,
  PrefixCacheView,
  ServerLoads,
  ServicePaces,
  SpillWindows,
} from '../placement';
import { requestClassKey } from './forwarding';
import { createLocalServers } from './local-servers';
import type { LocalChoice, LocalServersOptions } from './local-servers';
import { createOtherRegions } from './other-regions';
import type { ForwardPeer, OtherRegionsOptions } from './other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** Next destination of a request. */
export type Destination =
  | ({ readonly kind: 'server' } & LocalChoice)
  | { readonly kind: 'peer'; readonly peer: ForwardPeer }
  | {
      readonly kind: 'none';
      readonly reason: 'noServer' | 'overloaded';
      readonly retryAfterMs: number;
      /**
       * The best server of this region, if its first byte would come too late; undefined if there
       * is none.
       */
      readonly best: LocalChoice | undefined;
    };

/** Chooses destinations for requests, and records their results for later choices. */
export interface Router {
  choose(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Destination;
  readonly loads: ServerLoads;
  readonly paces: ServicePaces;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  readonly spillWindows: SpillWindows;
  /** Records that a server has read the prompt of a request from this instance. */
  recordRead(incarnationId: string, demand: ModelDemand): void;
  /** Records that servers have read parts of prompts for other instances. */
  noteReadForOthers(read: readonly ReadParts[]): void;
  /** Drops the records of all server incarnations except the given ones. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Options of `createRouter`. */
export type RouterOptions = Omit<
  LocalServersOptions,
  'loads' | 'paces' | 'prefixes' | 'correction'
> &
  Omit<OtherRegionsOptions, 'windows'> & {
    /** Called with the shared prompt parts that a server has read for a request from this instance. */
    readonly onRead: (incarnationId: string, partIds: readonly string[]) => void;
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
  const { coldGate } = options;
  const loads = createServerLoads();
  const paces = createServicePaces();
  const prefixes = createPrefixCacheView();
  const correction = createPredictionCorrection();
  const spillWindows = createSpillWindows();
  const sizeAdmission = createSizeAdmission(options.draw);
  const retrySchedule = createReturnSchedule(MAX_RETRY_MS);
  const localServers = createLocalServers({ ...options, loads, paces, prefixes, correction });
  const otherRegions = createOtherRegions({ ...options, windows: spillWindows });

  /** Returns an instance of another region, if the request is better served there. */
  const choosePeer = (
    plan: RequestPlan,
    localMs: number | undefined,
    tried: TriedDestinations,
  ): ForwardPeer | undefined => {
    // A request is forwarded to another region at most once, so that it cannot circulate.
    if (plan.isForwarded) return undefined;
    const others = otherRegions.options(plan, tried);
    const chosenRegion = chooseRegion({ localMs, objectiveMs: plan.objectiveMs, others });
    return chosenRegion.kind === 'remote'
      ? otherRegions.pickPeer(chosenRegion.region, tried)
      : undefined;
  };

  /**
   * Returns whether a request may be sent to a server, by the predicted time to its first byte
   * there. Records prompts that are in time, since the admission by size compares late ones to them.
   */
  const isAdmitted = (choice: LocalChoice, plan: RequestPlan, nowMs: number): boolean => {
    const { predictedMs, ownReadMs } = choice;
    const { objectiveMs } = plan;
    if (predictedMs > plan.deadlineAtMs - nowMs) return false;
    const kind = requestClassKey(plan);
    if (predictedMs > objectiveMs * MAX_OBJECTIVE_MULTIPLE) {
      return sizeAdmission.letsIn({ kind, predictedMs, ownReadMs, objectiveMs });
    }
    sizeAdmission.noteInTime(kind, ownReadMs);
    return true;
  };

  const refuse = (
    reason: 'noServer' | 'overloaded',
    plan: RequestPlan,
    minDelayMs: number,
    nowMs: number,
    best?: LocalChoice,
  ): Destination => {
    // The instance that forwarded the request answers its caller. A place in the retry schedule
    // here would delay the callers of this region.
    const retryAfterMs = plan.isForwarded
      ? minDelayMs
      : retrySchedule.nextReturnMs(requestClassKey(plan), minDelayMs, nowMs);
    return { kind: 'none', reason, retryAfterMs, best };
  };

  /** Refuses a request that cannot be sent to any server of this region. */
  const refuseWithoutServer = (plan: RequestPlan, nowMs: number): Destination => {
    const hasServersElsewhere =
      !plan.isForwarded && otherRegions.regionsWithServers(plan).length > 0;
    return hasServersElsewhere
      ? refuse('overloaded', plan, MIN_RETRY_MS, nowMs)
      : refuse('noServer', plan, NO_SERVER_RETRY_MS, nowMs);
  };

  return {
    loads,
    paces,
    prefixes,
    correction,
    spillWindows,
    choose(request, plan, tried, nowMs) {
      const { best, unreachable } = localServers.outlook(request, plan, tried, nowMs);
      const peer = choosePeer(plan, best?.predictedMs, tried);
      if (peer !== undefined) return { kind: 'peer', peer };
      // If no server is reachable and no other region helps, a server that is only suspected to be
      // unreachable is the best choice.
      const choice = best ?? unreachable;
      if (choice === undefined) return refuseWithoutServer(plan, nowMs);
      if (!isAdmitted(choice, plan, nowMs)) {
        const minDelayMs = Math.max(MIN_RETRY_MS, choice.predictedMs - plan.objectiveMs);
        return refuse('overloaded', plan, minDelayMs, nowMs, choice);
      }
      const { server } = choice;
      if (server.coldUntilMs > nowMs) coldGate.noteSent(server.incarnationId, nowMs);
      retrySchedule.noteAdmitted(requestClassKey(plan), nowMs);
      return { kind: 'server', ...choice };
    },
    recordRead(incarnationId, demand) {
      prefixes.noteRead(incarnationId, demand);
      const shared = demand.parts.slice(0, -1).map(({ partId }) => partId);
      if (shared.length > 0) options.onRead(incarnationId, shared);
    },
    noteReadForOthers(read) {
      for (const { incarnationId, partIds } of read) prefixes.noteParts(incarnationId, partIds);
    },
    keepOnly(known) {
      loads.keepOnly(known);
      prefixes.keepOnly(known);
      coldGate.keepOnly(known);
    },
  };
}
