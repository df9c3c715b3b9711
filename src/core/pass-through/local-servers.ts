import type { ConnectionPool } from '../exchanges';
import type { RouteTableStore, RoutedService } from '../host-routes';
import type { PeerLoads } from '../load-sharing';
import {
  chooseServer,
  memorySlots,
  serverSampleSize,
  sampleServers,
  createPrefillPlanner,
} from '../placement';
import type {
  Candidate,
  PredictionCorrection,
  PrefixCacheView,
  PrefillPlanner,
  PrefillPlan,
  ServerLoads,
  ServerSpeeds,
  ServiceSpeeds,
  Suspicions,
} from '../placement';
import type { ServerLimits } from '../server-limits';
import type { Refusals, ServerNotices } from '../server-notices';
import type { KnownServer, ServerRegistry } from '../server-registry';
import type { ColdServerLimiter } from '../shared-budget';
import { isRepeatable, requestClassKey } from './forwarding';
import type { LocalChoice, LocalChoices, RestrictedServer } from './local-choice';
import { nameAbsence } from './server-absence';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';
import { withoutSuspects } from './without-suspects';

/** Chooses among the servers of this region. */
export interface LocalServers {
  /** Returns the best servers for a request. */
  outlook(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): LocalChoices;
  /**
   * Returns the time until some server of a service may be sent a request as far as what servers
   * state is concerned, ms; 0 if that is so now, or if there is no server.
   */
  waitMs(service: string): number;
  /** Returns the number of servers that a request may go to, and that have a free slot and no prompt that waits. */
  idleServers(plan: RequestPlan, nowMs: number): number;
}

/** Options of `createLocalServers`. */
export interface LocalServersOptions {
  readonly region: string;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly pool: Pick<ConnectionPool, 'hasCapacity'>;
  readonly coldServerLimiter: ColdServerLimiter;
  readonly limits: Pick<ServerLimits, 'waitMs'>;
  readonly notices: Pick<ServerNotices, 'waitMs'>;
  /** Number of instances of this region, including this one. */
  readonly instancesInRegion: () => number;
  readonly loads: ServerLoads;
  readonly refusals: Refusals;
  /** Servers whose answers had no end. */
  readonly suspicions: Pick<Suspicions, 'standing'>;
  /** Requests that the other instances of this region have in flight at its servers. */
  readonly otherLoads: PeerLoads;
  readonly speeds: ServiceSpeeds;
  /** Speeds of single servers; undefined if all servers of a service count as equally fast. */
  readonly serverSpeeds: ServerSpeeds | undefined;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/**
 * Share of a server's connections that all instances of the region together use. Each divides it by
 * the number of instances, which it knows only as of some seconds ago, and a server resets
 * connections above its maximum.
 */
const USABLE_CONNECTION_SHARE = 0.85;
/**
 * Share of failures among a server's latest requests above which it is skipped if another server is
 * healthy.
 */
const MAX_FAILURE_SHARE = 0.2;
/** Connections per server if the routes state no maximum. */
const DEFAULT_MAX_CONNECTIONS = 32;
/** Demand of a request that states none. */
const NO_DEMAND = { parts: [], promptTokens: 0 };

/**
 * Creates a chooser that rates servers by the observations of this instance and by the reports of
 * the others.
 */
export function createLocalServers(options: LocalServersOptions): LocalServers {
  const {
    region,
    routes,
    servers,
    pool,
    coldServerLimiter,
    limits,
    notices,
    loads,
    refusals,
    suspicions,
    otherLoads,
    speeds,
    serverSpeeds,
    prefixes,
    correction,
  } = options;

  const maxConnectionsOf = (service: RoutedService | undefined): number => {
    const all = service?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    const share = (all * USABLE_CONNECTION_SHARE) / Math.max(1, options.instancesInRegion());
    return Math.max(1, Math.floor(share));
  };

  /**
   * Returns the requests at a server: the sum over all instances if all of them report, otherwise
   * the load from the server's latest answers.
   */
  const loadOf = (incarnationId: string, nowMs: number): number => {
    const hasReportsFromAll =
      otherLoads.reportingInstanceCount() + 1 >= options.instancesInRegion();
    return hasReportsFromAll
      ? loads.ownInFlight(incarnationId) + otherLoads.inFlight(incarnationId)
      : loads.load(incarnationId, nowMs);
  };

  const pendingTokensOf = (incarnationId: string): number =>
    loads.pendingTokens(incarnationId) + otherLoads.pendingTokens(incarnationId);

  const speedFactorOf = (incarnationId: string, nowMs: number): number =>
    serverSpeeds?.factor(incarnationId, nowMs) ?? 1;

  const hasConnection = ({ address }: KnownServer, service: RoutedService | undefined): boolean =>
    pool.hasCapacity(address, maxConnectionsOf(service));

  /** Returns whether a server is warm, or may get one more request although it is cold. */
  const isReceiving = (
    { incarnationId, coldUntilMs }: KnownServer,
    service: RoutedService | undefined,
    nowMs: number,
  ): boolean =>
    coldUntilMs <= nowMs ||
    coldServerLimiter.maySend(incarnationId, service?.coldRequestsPerSecond ?? 0, nowMs);

  /** Returns why a server may not be sent a request now; undefined if it may. */
  const restrictionOf = ({ incarnationId }: KnownServer): RestrictedServer | undefined => {
    const pauseMs = notices.waitMs(incarnationId);
    const limitMs = limits.waitMs(incarnationId);
    if (pauseMs > 0 && pauseMs >= limitMs) {
      return { incarnationId, kind: 'paused', waitMs: pauseMs };
    }
    return limitMs > 0 ? { incarnationId, kind: 'limited', waitMs: limitMs } : undefined;
  };

  /** Returns the server that may be sent a request first, of those that may not be sent one now. */
  const firstRestricted = (candidates: readonly KnownServer[]): RestrictedServer | undefined =>
    candidates
      .map(restrictionOf)
      .filter((restricted) => restricted !== undefined)
      .sort((left, right) => left.waitMs - right.waitMs)[0];

  /** Returns the server of a service, or of one version of it, that may be sent a request first, if none may be sent one now. */
  const serviceRestriction = (
    service: string,
    softwareVersion?: string,
  ): RestrictedServer | undefined => {
    const usable = servers.usable(service, region, softwareVersion);
    const isOneFree = usable.some((server) => restrictionOf(server) === undefined);
    return isOneFree ? undefined : firstRestricted(usable);
  };

  const toCandidate = (
    server: KnownServer,
    request: InboundRequest,
    plan: RequestPlan,
    { uncachedTokens, copyableTokens }: PrefillPlan,
    refusalShare: number,
    nowMs: number,
  ): Candidate => {
    const { incarnationId, slots } = server;
    const memoryTokens = routes.current()?.table.services.get(plan.service)?.memoryTokens;
    return {
      incarnationId,
      slots,
      memorySlots: memorySlots(memoryTokens, request.demand, loads.openSizes(incarnationId)),
      load: loadOf(incarnationId, nowMs),
      pendingTokens: pendingTokensOf(incarnationId),
      uncachedTokens,
      copyableTokens,
      delayMs: loads.delayMs(incarnationId, nowMs),
      speedFactor: speedFactorOf(incarnationId, nowMs),
      // At best, a failed or refused request is retried elsewhere, which takes about as long as the objective.
      failureCostMs: (loads.failureShare(incarnationId, nowMs) + refusalShare) * plan.objectiveMs,
    };
  };

  /**
   * Returns whether a server fails often. Such servers are not sampled if others are healthy: where
   * most servers fail, a small sample could consist of failing ones only.
   */
  const failsOften = ({ incarnationId }: KnownServer, nowMs: number): boolean =>
    loads.failureShare(incarnationId, nowMs) > MAX_FAILURE_SHARE;

  /** Returns the servers that neither fail nor refuse often; all servers if there is none. */
  const preferred = (
    eligible: readonly KnownServer[],
    promptTokens: number,
    isLastAttempt: boolean,
    nowMs: number,
  ): readonly KnownServer[] => {
    const standingOf = ({ incarnationId }: KnownServer) =>
      refusals.standing(incarnationId, promptTokens, nowMs);
    const healthy = eligible.filter(
      (server) => !failsOften(server, nowMs) && !standingOf(server).isAvoided,
    );
    const usable = healthy.length > 0 ? healthy : eligible;
    if (!isLastAttempt) return usable;
    // A trial at a server that has refused lately costs a caller its answer if the request can't be sent elsewhere.
    const proven = usable.filter((server) => !standingOf(server).isUnproven);
    return proven.length > 0 ? proven : usable;
  };

  /** Returns a sample of the servers that hold a part of the prompt, and a sample of the others. */
  const sampleCandidates = (
    eligible: readonly KnownServer[],
    request: InboundRequest,
    isLastAttempt: boolean,
    planPrefill: PrefillPlanner,
    nowMs: number,
  ): readonly KnownServer[] => {
    const promptTokens = request.demand?.promptTokens ?? 0;
    const holdsPromptPart = ({ incarnationId }: KnownServer) =>
      planPrefill(incarnationId).uncachedTokens < promptTokens;
    const count = serverSampleSize(eligible.length, options.instancesInRegion());
    const sample = (group: readonly KnownServer[]) => sampleServers(group, count, options.draw);
    const usable = preferred(eligible, promptTokens, isLastAttempt, nowMs);
    return [
      ...sample(usable.filter(holdsPromptPart)),
      ...sample(usable.filter((server) => !holdsPromptPart(server))),
    ];
  };

  const chooseBest = (
    eligible: readonly KnownServer[],
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): LocalChoice | undefined => {
    const ids = eligible.map((server) => server.incarnationId);
    const service = routes.current()?.table.services.get(plan.service);
    const copyMsPerToken = service?.copyMsPerToken;
    const versions = new Map(
      eligible.map(({ incarnationId, softwareVersion }) => [incarnationId, softwareVersion]),
    );
    // What two versions of the software keep in memory may differ in its layout, and a server does not check that.
    const mayCopy = (sourceId: string, targetId: string): boolean =>
      copyMsPerToken !== undefined && versions.get(sourceId) === versions.get(targetId);
    const planPrefill = createPrefillPlanner(prefixes, ids, request.demand ?? NO_DEMAND, mayCopy);
    const candidates = sampleCandidates(
      eligible,
      request,
      tried.ids.size + 1 >= plan.maxAttempts,
      planPrefill,
      nowMs,
    ).map((server) =>
      toCandidate(
        server,
        request,
        plan,
        planPrefill(server.incarnationId),
        refusals.standing(server.incarnationId, request.demand?.promptTokens ?? 0, nowMs).share,
        nowMs,
      ),
    );
    const speed = { ...speeds.speedOf(plan.service), copyMsPerToken };
    const choice = chooseServer(candidates, speed);
    const byId = (id: string | undefined) => eligible.find((server) => server.incarnationId === id);
    const server = byId(choice?.incarnationId);
    if (choice === undefined || server === undefined) return undefined;
    const kind = requestClassKey(plan);
    const speedFactor = speedFactorOf(server.incarnationId, nowMs);
    const ownPrefillMs = choice.prefillTokens * speed.prefillMsPerToken * speedFactor;
    return {
      server,
      predictedMs: correction.correct(kind, choice.predictedMs),
      rawPredictedMs: choice.predictedMs,
      usualMs: choice.usualMs,
      speedFactor,
      parts: choice.parts,
      ownPrefillMs: correction.correct(kind, ownPrefillMs),
      tokens: choice.prefillTokens,
      load: loadOf(server.incarnationId, nowMs),
      pendingTokens: pendingTokensOf(server.incarnationId),
      copyFrom: byId(planPrefill(server.incarnationId).copyFrom),
      maxConnections: maxConnectionsOf(service),
    };
  };

  return {
    outlook(request, plan, tried, nowMs) {
      const mayServeHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(region);
      if (!mayServeHere) {
        const absence = 'notInThisRegion';
        return { best: undefined, unreachable: undefined, restricted: undefined, absence };
      }
      const service = routes.current()?.table.services.get(plan.service);
      const usable = servers.usable(plan.service, region, plan.streamVersion);
      const untried = usable.filter(({ incarnationId }) => !tried.ids.has(incarnationId));
      const withConnection = untried.filter((server) => hasConnection(server, service));
      const candidates = withConnection.filter((server) => isReceiving(server, service, nowMs));
      const eligible = candidates.filter((server) => restrictionOf(server) === undefined);
      const connectable = eligible.filter(
        (server) => !loads.isBackingOff(server.incarnationId, nowMs),
      );
      const reachable = withoutSuspects(connectable, {
        standingOf: ({ incarnationId }) => suspicions.standing(incarnationId, nowMs),
        mayBeSentAgain: isRepeatable(plan) && tried.ids.size + 1 < plan.maxAttempts,
      });
      if (reachable.length > 0) {
        const best = chooseBest(reachable, request, plan, tried, nowMs);
        return { best, unreachable: undefined, restricted: undefined, absence: undefined };
      }
      // A server under suspicion is likelier to answer than one that can't be connected to.
      const unreachable = chooseBest(
        connectable.length > 0 ? connectable : eligible,
        request,
        plan,
        tried,
        nowMs,
      );
      const restricted =
        firstRestricted(candidates) ?? serviceRestriction(plan.service, plan.streamVersion);
      const facts = {
        mayServeHere,
        usable: usable.length,
        untried: untried.length,
        connectable: withConnection.length,
        receiving: candidates.length,
      };
      const absence = unreachable === undefined ? nameAbsence(facts) : undefined;
      return { best: undefined, unreachable, restricted, absence };
    },
    waitMs: (service) => serviceRestriction(service)?.waitMs ?? 0,
    idleServers: ({ service, streamVersion }, nowMs) =>
      servers
        .usable(service, region, streamVersion)
        .filter(
          ({ incarnationId, slots }) =>
            loadOf(incarnationId, nowMs) + 1 <= slots && pendingTokensOf(incarnationId) === 0,
        ).length,
  };
}
