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
import { alikeKey } from './forwarding';
import { createLocalServers } from './local-servers';
import type { LocalChoice, LocalServersOptions } from './local-servers';
import { createOtherRegions } from './other-regions';
import type { ForwardPeer, OtherRegionsOptions } from './other-regions';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** Where a request goes next. */
export type Destination =
  | ({ readonly kind: 'server' } & LocalChoice)
  | { readonly kind: 'peer'; readonly peer: ForwardPeer }
  | {
      readonly kind: 'none';
      readonly reason: 'noServer' | 'overloaded';
      readonly retryAfterMs: number;
      /** The best server here, whose first byte would come too late; undefined where there is none. */
      readonly best: LocalChoice | undefined;
    };

/** Chooses destinations, and learns from what becomes of requests. */
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
  /** Notes that a server has read the prompt of a request from here. */
  noteRead(incarnationId: string, demand: ModelDemand): void;
  /** Notes that servers have read parts of prompts for other instances. */
  noteReadForOthers(read: readonly ReadParts[]): void;
  /** Forgets the starts of servers that are not among those given. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** What the router is made from. */
export type RouterOptions = Omit<
  LocalServersOptions,
  'loads' | 'paces' | 'prefixes' | 'correction'
> &
  Omit<OtherRegionsOptions, 'windows'> & {
    /** Told of the shared parts that a server has read for a request from here. */
    readonly onRead: (incarnationId: string, partIds: readonly string[]) => void;
  };

/**
 * Multiple of the latency objective that a request may be predicted to wait. Servers that are given more than
 * they finish in time answer all of it late; what is refused at once can come back, and the rest is in time.
 */
const PATIENCE_IN_OBJECTIVES = 1;
/** When to come back where no server is known: they announce themselves every second or so. */
const NO_SERVER_RETRY_MS = 1_000;
/** Least time to come back after: less only repeats the refusal, since a slot is freed every few tens of ms. */
const SHORTEST_RETRY_MS = 200;
/** Most time to come back after: callers follow it up to a third of the time they have, which is a few seconds. */
const LONGEST_RETRY_MS = 2_000;

/** A router that has seen nothing yet. */
export function createRouter(options: RouterOptions): Router {
  const { coldGate } = options;
  const loads = createServerLoads();
  const paces = createServicePaces();
  const prefixes = createPrefixCacheView();
  const correction = createPredictionCorrection();
  const spillWindows = createSpillWindows();
  const sizes = createSizeAdmission(options.draw);
  const returns = createReturnSchedule(LONGEST_RETRY_MS);
  const here = createLocalServers({ ...options, loads, paces, prefixes, correction });
  const elsewhere = createOtherRegions({ ...options, windows: spillWindows });

  /** An instance of another region, where the request is better served there. */
  const chooseElsewhere = (
    plan: RequestPlan,
    localMs: number | undefined,
    tried: TriedDestinations,
  ): ForwardPeer | undefined => {
    // A request goes to another region once at most, so that it cannot circle.
    if (plan.isForwarded) return undefined;
    const others = elsewhere.options(plan, tried);
    const where = chooseRegion({ localMs, objectiveMs: plan.objectiveMs, others });
    return where.kind === 'remote' ? elsewhere.pickPeer(where.region, tried) : undefined;
  };

  /** Whether a request may go to a server, by when its first byte is predicted there. */
  const isLetIn = (choice: LocalChoice, plan: RequestPlan, nowMs: number): boolean => {
    const { predictedMs, ownReadMs } = choice;
    const { objectiveMs } = plan;
    if (predictedMs > plan.deadlineAtMs - nowMs) return false;
    const kind = alikeKey(plan);
    if (predictedMs > objectiveMs * PATIENCE_IN_OBJECTIVES) {
      return sizes.letsIn({ kind, predictedMs, ownReadMs, objectiveMs });
    }
    sizes.noteInTime(kind, ownReadMs);
    return true;
  };

  const refuse = (
    reason: 'noServer' | 'overloaded',
    plan: RequestPlan,
    leastMs: number,
    nowMs: number,
    best?: LocalChoice,
  ): Destination => {
    // The instance that sent it here answers its caller; a place in line would be taken from this region's own.
    const retryAfterMs = plan.isForwarded
      ? leastMs
      : returns.nextReturnMs(alikeKey(plan), leastMs, nowMs);
    return { kind: 'none', reason, retryAfterMs, best };
  };

  /** Refuses what no server of this region may be given. */
  const refuseWithoutServer = (plan: RequestPlan, nowMs: number): Destination => {
    const isOnlyFull = !plan.isForwarded && elsewhere.withServers(plan).length > 0;
    return isOnlyFull
      ? refuse('overloaded', plan, SHORTEST_RETRY_MS, nowMs)
      : refuse('noServer', plan, NO_SERVER_RETRY_MS, nowMs);
  };

  return {
    loads,
    paces,
    prefixes,
    correction,
    spillWindows,
    choose(request, plan, tried, nowMs) {
      const { best, suspected } = here.outlook(request, plan, tried, nowMs);
      const peer = chooseElsewhere(plan, best?.predictedMs, tried);
      if (peer !== undefined) return { kind: 'peer', peer };
      // Where none can be reached and no region helps, one that is only suspected is the best that there is.
      const choice = best ?? suspected;
      if (choice === undefined) return refuseWithoutServer(plan, nowMs);
      if (!isLetIn(choice, plan, nowMs)) {
        const leastMs = Math.max(SHORTEST_RETRY_MS, choice.predictedMs - plan.objectiveMs);
        return refuse('overloaded', plan, leastMs, nowMs, choice);
      }
      const { server } = choice;
      if (server.coldUntilMs > nowMs) coldGate.noteSent(server.incarnationId, nowMs);
      returns.noteAdmitted(alikeKey(plan), nowMs);
      return { kind: 'server', ...choice };
    },
    noteRead(incarnationId, demand) {
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
