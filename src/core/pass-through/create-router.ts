import type { ConnectionPool } from '../exchanges';
import type { RouteTableStore, RoutedService } from '../host-routes';
import {
  chooseRegion,
  chooseServer,
  createPredictionCorrection,
  createPrefixCacheView,
  createServerLoads,
  createServicePaces,
} from '../placement';
import type {
  Candidate,
  PredictionCorrection,
  PrefixCacheView,
  RegionOption,
  ServerLoads,
  ServicePaces,
} from '../placement';
import type { KnownServer, ServerRegistry } from '../server-registry';
import type { ColdGate } from '../shared-budget';
import type { InboundRequest, RequestPlan } from './types';

/** Another instance that can serve requests in its region. */
export interface ForwardPeer {
  readonly instanceId: string;
  readonly region: string;
  /** Where it takes forwarded requests, `HOST:PORT`. */
  readonly forwardAddress: string;
  readonly inFlightRequests: number;
}

/** Where a request goes next. */
export type Destination =
  | {
      readonly kind: 'server';
      readonly server: KnownServer;
      /** Predicted time to the first byte, corrected by earlier ones. */
      readonly predictedMs: number;
      /** The same before it was corrected. */
      readonly rawPredictedMs: number;
      /** Prompt tokens that it will probably have to read. */
      readonly tokens: number;
      readonly mostConnections: number;
    }
  | { readonly kind: 'peer'; readonly peer: ForwardPeer }
  | {
      readonly kind: 'none';
      readonly reason: 'noServer' | 'overloaded';
      readonly retryAfterMs: number;
    };

/** Chooses destinations, and learns from what becomes of requests. */
export interface Router {
  choose(
    request: InboundRequest,
    plan: RequestPlan,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): Destination;
  readonly loads: ServerLoads;
  readonly paces: ServicePaces;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  /** Forgets servers that have gone. */
  forgetGone(): void;
}

/** What the router is made from. */
export interface RouterOptions {
  readonly region: string;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly pool: ConnectionPool;
  readonly coldGate: ColdGate;
  /** Other instances that may be given work. */
  readonly peers: () => readonly ForwardPeer[];
  /** Instances of this region, this one included. */
  readonly instancesInRegion: () => number;
  /** A number from 0 up to 1. */
  readonly draw: () => number;
}

/**
 * Part of a server's connections that instances use: what they know of one another's number is seconds old,
 * and a connection too many is reset.
 */
const CONNECTIONS_USED = 0.85;
/** Where the routes do not say how many connections a server takes. */
const CONNECTIONS_UNSTATED = 32;
/** Part of the prompt that a server reads again although all instances prefer it for the request's shared parts. */
const UNSURE_READ_SHARE = 0.3;
/**
 * Multiple of the latency objective that a request may be predicted to wait. Servers that are given more than
 * they finish in time answer all of it late; what is refused at once can come back, and the rest is in time.
 * Of 0.8, 1, 1.5 and 4 objectives, each measured once on three heavy days, 1 was best by a little: with 0.8 up to
 * twice as many requests were refused and no more were in time; with 4 up to three times as many were late.
 */
const PATIENCE_IN_OBJECTIVES = 1;
/** When to come back where no server is known: they announce themselves every second or so. */
const NO_SERVER_RETRY_MS = 1_000;
/** Least time to come back after: less only repeats the refusal, since a slot is freed every few tens of ms. */
const SHORTEST_RETRY_MS = 200;
/** Most time to come back after: callers follow it up to a third of the time they have, which is a few seconds. */
const LONGEST_RETRY_MS = 2_000;

/** Stands for a request that says nothing of what it asks of a model. */
const NO_DEMAND = { parts: [], promptTokens: 0 };

/** Requests that servers treat alike. */
export function alikeKey({ service, priority }: RequestPlan): string {
  return `${service}/${priority}`;
}

/** A router that has seen nothing yet. */
export function createRouter(options: RouterOptions): Router {
  const { region, routes, servers, pool, coldGate, draw } = options;
  const loads = createServerLoads();
  const paces = createServicePaces();
  const prefixes = createPrefixCacheView();
  const correction = createPredictionCorrection();

  const mostConnections = (service: RoutedService | undefined): number => {
    const all = service?.maxConnections ?? CONNECTIONS_UNSTATED;
    return Math.max(
      1,
      Math.floor((all * CONNECTIONS_USED) / Math.max(1, options.instancesInRegion())),
    );
  };

  const isOpen = (
    server: KnownServer,
    service: RoutedService | undefined,
    nowMs: number,
  ): boolean =>
    server.coldUntilMs <= nowMs ||
    coldGate.isOpen(server.serverId, service?.coldRequestsPerSecond ?? 0, nowMs);

  const eligible = (
    plan: RequestPlan,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): readonly KnownServer[] => {
    const service = routes.current()?.table.services.get(plan.service);
    const most = mostConnections(service);
    const open = servers
      .usable(plan.service, region)
      .filter(
        (server) =>
          !tried.has(server.serverId) &&
          isOpen(server, service, nowMs) &&
          pool.hasRoom(server.address, most),
      );
    const reachable = open.filter((server) => !loads.isBlocked(server.serverId, nowMs));
    // Where none can be reached, one that is only suspected is still the best that there is.
    return reachable.length > 0 ? reachable : open;
  };

  const toCandidate = (
    server: KnownServer,
    request: InboundRequest,
    plan: RequestPlan,
    preferred: string | undefined,
    nowMs: number,
  ): Candidate => {
    const { serverId, slots } = server;
    const demand = request.demand ?? NO_DEMAND;
    const unread = prefixes.uncachedTokens(serverId, demand);
    const own = demand.parts.at(-1)?.tokens ?? 0;
    const shared = Math.max(0, unread - own);
    return {
      serverId,
      slots,
      load: loads.load(serverId, nowMs),
      pendingTokens: loads.pendingTokens(serverId),
      uncachedTokens: serverId === preferred ? unread - shared * (1 - UNSURE_READ_SHARE) : unread,
      penaltyMs: loads.penaltyMs(serverId, plan.objectiveMs, nowMs),
    };
  };

  const regionOptions = (plan: RequestPlan): RegionOption[] => {
    const peers = options.peers();
    const regions = new Set(peers.map((peer) => peer.region));
    return [...regions]
      .filter((other) => other !== region)
      .filter((other) => plan.homeRegions.length === 0 || plan.homeRegions.includes(other))
      .flatMap((other) => {
        if (servers.usable(plan.service, other).length === 0) return [];
        // Instances tell what they have open at all services together, so all slots of the region count.
        const slots = servers
          .all()
          .filter((server) => server.region === other && !server.isDraining)
          .reduce((sum, server) => sum + server.slots, 0);
        const inFlight = peers
          .filter((peer) => peer.region === other)
          .reduce((sum, peer) => sum + peer.inFlightRequests, 0);
        return [{ region: other, utilization: inFlight / Math.max(1, slots) }];
      });
  };

  const pickPeer = (inRegion: string, tried: ReadonlySet<string>): ForwardPeer | undefined => {
    const peers = options
      .peers()
      .filter((peer) => peer.region === inRegion && !tried.has(peer.instanceId));
    return peers[Math.floor(draw() * peers.length)];
  };

  const retryAfterMs = (predictedMs: number, plan: RequestPlan): number =>
    Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, predictedMs - plan.objectiveMs));

  return {
    loads,
    paces,
    prefixes,
    correction,
    choose(request, plan, tried, nowMs) {
      const service = routes.current()?.table.services.get(plan.service);
      const mayServeHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(region);
      const usable = mayServeHere ? eligible(plan, tried, nowMs) : [];
      const ids = usable.map((server) => server.serverId);
      const preferred =
        request.demand === undefined ? undefined : prefixes.preferred(ids, request.demand);
      const candidates = usable.map((server) =>
        toCandidate(server, request, plan, preferred, nowMs),
      );
      const choice = chooseServer(candidates, paces.pace(plan.service));
      const predictedMs =
        choice === undefined ? undefined : correction.correct(alikeKey(plan), choice.predictedMs);
      const where = plan.isForwarded
        ? ({ kind: choice === undefined ? 'nowhere' : 'local' } as const)
        : chooseRegion({
            localMs: predictedMs,
            objectiveMs: plan.objectiveMs,
            others: regionOptions(plan),
          });
      if (where.kind === 'remote') {
        const peer = pickPeer(where.region, tried);
        if (peer !== undefined) return { kind: 'peer', peer };
      }
      if (choice === undefined || predictedMs === undefined) {
        return { kind: 'none', reason: 'noServer', retryAfterMs: NO_SERVER_RETRY_MS };
      }
      const patienceMs = Math.min(
        plan.deadlineAtMs - nowMs,
        plan.objectiveMs * PATIENCE_IN_OBJECTIVES,
      );
      if (predictedMs > patienceMs) {
        return {
          kind: 'none',
          reason: 'overloaded',
          retryAfterMs: retryAfterMs(predictedMs, plan),
        };
      }
      const server = usable.find(({ serverId }) => serverId === choice.serverId);
      const candidate = candidates.find(({ serverId }) => serverId === choice.serverId);
      if (server === undefined || candidate === undefined) {
        return { kind: 'none', reason: 'noServer', retryAfterMs: NO_SERVER_RETRY_MS };
      }
      if (server.coldUntilMs > nowMs) coldGate.noteSent(server.serverId, nowMs);
      return {
        kind: 'server',
        server,
        predictedMs,
        rawPredictedMs: choice.predictedMs,
        tokens: candidate.uncachedTokens,
        mostConnections: mostConnections(service),
      };
    },
    forgetGone() {
      const known = new Set(servers.all().map((server) => server.serverId));
      loads.keepOnly(known);
      prefixes.keepOnly(known);
      coldGate.keepOnly(known);
    },
  };
}
