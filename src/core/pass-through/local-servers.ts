import type { ConnectionPool } from '../exchanges';
import type { RouteTableStore, RoutedService } from '../host-routes';
import type { LoadBoard } from '../load-sharing';
import { chooseServer, countToLookAt, sampleServers, supplyPrompts } from '../placement';
import type {
  Candidate,
  PredictionCorrection,
  PrefixCacheView,
  PromptSupplies,
  PromptSupply,
  ServerLoads,
  ServicePaces,
} from '../placement';
import type { KnownServer, ServerRegistry } from '../server-registry';
import type { ColdGate } from '../shared-budget';
import { alikeKey } from './forwarding';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** The best server of this region for a request, with what is expected of it. */
export interface LocalChoice {
  readonly server: KnownServer;
  /** Predicted time to the first byte, corrected by earlier ones. */
  readonly predictedMs: number;
  /** The same before it was corrected. */
  readonly rawPredictedMs: number;
  /** Part of `predictedMs` in which the request's own prompt is read. */
  readonly ownReadMs: number;
  /** Prompt tokens that it will probably have to read, those that it copies left out. */
  readonly tokens: number;
  /** Requests at the server, and prompt tokens that it still has to read for them, as estimated. */
  readonly load: number;
  readonly pendingTokens: number;
  /** The server from whose cache it is to copy the prompt; undefined for none. */
  readonly copyFrom: KnownServer | undefined;
  readonly mostConnections: number;
}

/** What is known of the servers of this region for one request. */
export interface LocalOutlook {
  /** Best of those that can be reached, as far as is known; undefined where there is none. */
  readonly best: LocalChoice | undefined;
  /** Best of those to which no connection could be made just now. */
  readonly suspected: LocalChoice | undefined;
}

/** Judges the servers of this region. */
export interface LocalServers {
  outlook(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): LocalOutlook;
}

/** What the servers are judged by. */
export interface LocalServersOptions {
  readonly region: string;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly pool: Pick<ConnectionPool, 'hasRoom'>;
  readonly coldGate: ColdGate;
  /** Instances of this region, this one included. */
  readonly instancesInRegion: () => number;
  readonly loads: ServerLoads;
  /** What the other instances of this region have under way at its servers. */
  readonly others: LoadBoard;
  readonly paces: ServicePaces;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  /** A number from 0 up to 1. */
  readonly draw: () => number;
}

/**
 * Part of a server's connections that instances use: what they know of one another's number is seconds old,
 * and a connection too many is reset.
 */
const CONNECTIONS_USED = 0.85;
/** Part of its latest requests that a server fails, above which it is passed over where another one is sound. */
const OFTEN_FAILING = 0.2;
/** Where the routes do not say how many connections a server takes. */
const CONNECTIONS_UNSTATED = 32;
/** Stands for a request that says nothing of what it asks of a model. */
const NO_DEMAND = { parts: [], promptTokens: 0 };

/** Judges servers by what has been seen of them from here. */
export function createLocalServers(options: LocalServersOptions): LocalServers {
  const { region, routes, servers, pool, coldGate, loads, others, paces, prefixes, correction } =
    options;

  const mostConnections = (service: RoutedService | undefined): number => {
    const all = service?.maxConnections ?? CONNECTIONS_UNSTATED;
    const share = (all * CONNECTIONS_USED) / Math.max(1, options.instancesInRegion());
    return Math.max(1, Math.floor(share));
  };

  /** Requests at a server: as instances tell where all of them do, or else as the server's last answers told. */
  const loadOf = (incarnationId: string, nowMs: number): number => {
    const isToldByAll = others.heardOf() + 1 >= options.instancesInRegion();
    return isToldByAll
      ? loads.ownInFlight(incarnationId) + others.inFlight(incarnationId)
      : loads.load(incarnationId, nowMs);
  };

  const pendingTokensOf = (incarnationId: string): number =>
    loads.pendingTokens(incarnationId) + others.pendingTokens(incarnationId);

  const mayBeSentTo = (
    server: KnownServer,
    service: RoutedService | undefined,
    nowMs: number,
  ): boolean => {
    if (!pool.hasRoom(server.address, mostConnections(service))) return false;
    if (server.coldUntilMs <= nowMs) return true;
    return coldGate.isOpen(server.incarnationId, service?.coldRequestsPerSecond ?? 0, nowMs);
  };

  const toCandidate = (
    server: KnownServer,
    plan: RequestPlan,
    { uncachedTokens, copyableTokens }: PromptSupply,
    nowMs: number,
  ): Candidate => {
    const { incarnationId, slots } = server;
    return {
      incarnationId,
      slots,
      load: loadOf(incarnationId, nowMs),
      pendingTokens: pendingTokensOf(incarnationId),
      uncachedTokens,
      copyableTokens,
      delayMs: loads.delayMs(incarnationId, nowMs),
      // A failed request is tried elsewhere at best, which takes about as long as it may.
      failureCostMs: loads.failureShare(incarnationId, nowMs) * plan.objectiveMs,
    };
  };

  /** Where most servers fail, few drawn ones would all be failing beside sound ones. */
  const failsOften = ({ incarnationId }: KnownServer, nowMs: number): boolean =>
    loads.failureShare(incarnationId, nowMs) > OFTEN_FAILING;

  /** Some of the servers that hold a part of the prompt, and some of the others. */
  const toLookAt = (
    among: readonly KnownServer[],
    request: InboundRequest,
    supplies: PromptSupplies,
    nowMs: number,
  ): readonly KnownServer[] => {
    const promptTokens = request.demand?.promptTokens ?? 0;
    const isHolder = ({ incarnationId }: KnownServer) =>
      supplies(incarnationId).uncachedTokens < promptTokens;
    const count = countToLookAt(among.length, options.instancesInRegion());
    const sample = (some: readonly KnownServer[]) => sampleServers(some, count, options.draw);
    const sound = among.filter((server) => !failsOften(server, nowMs));
    const usable = sound.length > 0 ? sound : among;
    return [
      ...sample(usable.filter(isHolder)),
      ...sample(usable.filter((server) => !isHolder(server))),
    ];
  };

  const bestOf = (
    among: readonly KnownServer[],
    request: InboundRequest,
    plan: RequestPlan,
    nowMs: number,
  ): LocalChoice | undefined => {
    const ids = among.map((server) => server.incarnationId);
    const service = routes.current()?.table.services.get(plan.service);
    const copyMsPerToken = service?.copyMsPerToken;
    const mayCopy = copyMsPerToken !== undefined;
    const supplies = supplyPrompts(prefixes, ids, request.demand ?? NO_DEMAND, mayCopy);
    const candidates = toLookAt(among, request, supplies, nowMs).map((server) =>
      toCandidate(server, plan, supplies(server.incarnationId), nowMs),
    );
    const pace = { ...paces.pace(plan.service), copyMsPerToken };
    const choice = chooseServer(candidates, pace);
    const byId = (id: string | undefined) => among.find((server) => server.incarnationId === id);
    const server = byId(choice?.incarnationId);
    if (choice === undefined || server === undefined) return undefined;
    const kind = alikeKey(plan);
    return {
      server,
      predictedMs: correction.correct(kind, choice.predictedMs),
      rawPredictedMs: choice.predictedMs,
      ownReadMs: correction.correct(kind, choice.readTokens * pace.prefillMsPerToken),
      tokens: choice.readTokens,
      load: loadOf(server.incarnationId, nowMs),
      pendingTokens: pendingTokensOf(server.incarnationId),
      copyFrom: byId(supplies(server.incarnationId).copyFrom),
      mostConnections: mostConnections(service),
    };
  };

  return {
    outlook(request, plan, tried, nowMs) {
      const mayServeHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(region);
      if (!mayServeHere) return { best: undefined, suspected: undefined };
      const service = routes.current()?.table.services.get(plan.service);
      const open = servers
        .usable(plan.service, region)
        .filter(
          (server) => !tried.ids.has(server.incarnationId) && mayBeSentTo(server, service, nowMs),
        );
      const reachable = open.filter((server) => !loads.isBlocked(server.incarnationId, nowMs));
      if (reachable.length > 0) {
        return { best: bestOf(reachable, request, plan, nowMs), suspected: undefined };
      }
      return { best: undefined, suspected: bestOf(open, request, plan, nowMs) };
    },
  };
}
