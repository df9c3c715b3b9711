import type { AccountShares } from '../account-shares';
import {
  chooseRegion,
  createPredictionCorrection,
  createPrefixCacheView,
  createServerLoads,
  createServiceSpeeds,
  createSpillWindows,
  createUsualTimes,
  createSuspicions,
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
  UsualTimes,
  Suspicions,
} from '../placement';
import type { Reachability } from '../reachability';
import { createRefusals } from '../server-notices';
import type { Refusals } from '../server-notices';
import { STALL_TIMEOUT_MS } from './answer-timing';
import { createRefuser } from './create-refuser';
import type { Refused, RoomAtRefusal } from './create-refuser';
import type {
  Destination,
  Finding,
  Found,
  PeerDestination,
  SendableDestination,
} from './destinations';
import { createLocalAdmission } from './local-admission';
import type { ExceededBound } from './local-admission';
import { createLocalServers } from './local-servers';
import { waitMsOf } from './local-choice';
import type { LocalServersOptions } from './local-servers';
import type { LocalChoice, LocalChoices, RestrictedServer } from './local-choice';
import { needsDetour } from './needs-detour';
import { createOtherRegions } from './other-regions';
import type { OtherRegionsOptions } from './other-regions';
import type { ServerAbsence } from './server-absence';
import { createShareGate } from './share-gate';
import type { InboundRequest, RequestPlan, TriedDestinations } from './types';

/** Chooses destinations for requests, and records their results for later choices. */
export interface Router {
  /** Chooses a destination; leaves out silent servers if the request is a hedge that another region has sent. */
  choose(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Destination;
  /**
   * Chooses a destination for one more attempt of a request beside those in progress, which are silent; undefined if there
   * is none. Leaves out servers of this region that are silent as well, or under suspicion.
   */
  chooseBeside(
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): SendableDestination | undefined;
  /** Returns the time until some server of this region may be sent the request, ms; 0 if that is so now. */
  waitMs(plan: RequestPlan): number;
  readonly loads: ServerLoads;
  readonly refusals: Refusals;
  /** Servers whose answers had no end. */
  readonly suspicions: Suspicions;
  readonly speeds: ServiceSpeeds;
  /** Speeds of single servers; undefined if all servers of a service count as equally fast. */
  readonly serverSpeeds: ServerSpeeds | undefined;
  readonly prefixes: PrefixCacheView;
  readonly correction: PredictionCorrection;
  /** Times that requests without a stated prompt take by nature, by `ownTimeKey`. */
  readonly usualTimes: UsualTimes;
  readonly spillWindows: SpillWindows;
  /** Whether this instance reached no server at some time since the given one, monotonic ms. */
  wereLinksCutSince(atMs: number): boolean;
  /** Records that a request is sent to a server; callers that are refused are told to return at the rate of these. */
  recordAdmitted(plan: RequestPlan, nowMs: number): void;
  /** Records that a server has cached the prompt of a request from this instance. */
  recordPrompt(incarnationId: string, demand: ModelDemand): void;
  /** Records that servers have cached parts of prompts for other instances. */
  recordPeerCachedParts(parts: readonly CachedParts[]): void;
  /** Drops the records of all server incarnations except the given ones. */
  keepOnly(incarnationIds: ReadonlySet<string>): void;
}

/** Links of this instance to servers, as far as the router is concerned. */
export type LinksToServers = Pick<Reachability, 'isCut' | 'isUnreachable' | 'wasCutSince'>;

/** Options of `createRouter`. */
export type RouterOptions = Omit<
  LocalServersOptions,
  'loads' | 'refusals' | 'suspicions' | 'speeds' | 'prefixes' | 'correction'
> &
  Omit<OtherRegionsOptions, 'windows'> & {
    /** Record of refusals; a new one by default. */
    readonly refusals?: Refusals;
    /** Links to the servers; by default, all count as reachable. */
    readonly links?: LinksToServers;
    /** Shares of accounts of scarce services; none by default. */
    readonly accountShares?: AccountShares;
    /** Whether the waits of less urgent requests are bounded while more urgent ones arrive. */
    readonly priorityAdmission: boolean;
    /** Called with the shared prompt parts that a server has cached for a request from this instance. */
    readonly onPartsCached: (incarnationId: string, partIds: readonly string[]) => void;
  };

/**
 * Silence of a server with open requests from which no request is sent there beside a silent attempt, ms: a long prompt
 * may delay a batch for that long.
 */
const MAX_SILENCE_MS = 500;

/** Time without anything that a caller can use from which no request is sent there beside a stalled attempt, ms. */
const MAX_UNPROGRESSED_MS = STALL_TIMEOUT_MS;

const ALL_REACHABLE: LinksToServers = {
  isCut: () => false,
  isUnreachable: () => false,
  wasCutSince: () => false,
};
const NO_LOCAL_CHOICES: LocalChoices = {
  best: undefined,
  unreachable: undefined,
  restricted: undefined,
  absence: 'linksCut',
};

/**
 * Creates a router that sends requests to the servers of this region, or to instances of other
 * regions if requests are better served there.
 */
export function createRouter(options: RouterOptions): Router {
  const { coldServerLimiter, region, servers, links = ALL_REACHABLE } = options;
  const loads = createServerLoads();
  const refusals = options.refusals ?? createRefusals();
  const suspicions = createSuspicions();
  const speeds = createServiceSpeeds();
  const prefixes = createPrefixCacheView();
  const correction = createPredictionCorrection();
  const usualTimes = createUsualTimes();
  const spillWindows = createSpillWindows();
  const admission = createLocalAdmission({
    region: options.region,
    byPriority: options.priorityAdmission,
    draw: options.draw,
    usualTimes,
  });
  const refuser = createRefuser();
  const shareGate = createShareGate(options.accountShares);
  const localServers = createLocalServers({
    ...options,
    loads,
    refusals,
    suspicions,
    speeds,
    prefixes,
    correction,
  });
  const otherRegions = createOtherRegions({ ...options, windows: spillWindows });

  /** Returns an instance of another region, if the request is better served there. */
  const choosePeer = (
    plan: RequestPlan,
    best: LocalChoice | undefined,
    isOverMaxWait: boolean,
    tried: TriedDestinations,
  ): PeerDestination | undefined => {
    // A request is forwarded to another region at most once, so that it cannot circulate.
    if (plan.isForwarded) return undefined;
    const others = otherRegions.options(plan, tried);
    const choice = chooseRegion({
      localFirstByteMs: best?.predictedMs,
      objectiveMs: plan.objectiveMs,
      isOverMaxWait,
      others,
      draw: otherRegions.roomDraw(),
    });
    if (choice.kind !== 'remote') return undefined;
    const peer = otherRegions.pickPeer(choice.region, tried);
    const room = others.find((other) => other.region === choice.region)?.room;
    return peer && { kind: 'peer', peer, room };
  };

  /** Returns another instance of this region, if this one lacks the links to serve the request. */
  const chooseDetour = (
    plan: RequestPlan,
    { best, unreachable }: LocalChoices,
    tried: TriedDestinations,
  ): PeerDestination | undefined => {
    const mayServeHere = plan.homeRegions.length === 0 || plan.homeRegions.includes(region);
    const hasServers = servers.usable(plan.service, region, plan.streamVersion).length > 0;
    if (!mayServeHere || !hasServers || tried.refusingRegions.has(region)) return undefined;
    const triedUnreachable = [...tried.ids].filter(links.isUnreachable).length;
    const isNextUnreachable =
      unreachable !== undefined && links.isUnreachable(unreachable.server.incarnationId);
    const isNeeded = needsDetour({
      isCut: links.isCut(),
      triedUnreachable,
      hasReachableServer: best !== undefined,
      hasUnreachableServer: isNextUnreachable || triedUnreachable > 0,
    });
    const peer = isNeeded ? otherRegions.pickPeerHere(tried) : undefined;
    return peer && { kind: 'peer', peer, isDetour: true };
  };

  /** Returns whether a stream can go on only at some of the servers of this region that serve new requests. */
  const isBoundToSome = ({ service, streamVersion }: RequestPlan): boolean =>
    streamVersion !== undefined &&
    servers.usable(service, region).some((server) => server.softwareVersion !== streamVersion);

  /**
   * Returns whether only servers of other versions serve, in any region, so that a later retry would be in vain. Where no
   * server serves at all, those of the version may come back.
   */
  const isVersionGone = ({ service, streamVersion }: RequestPlan): boolean => {
    if (streamVersion === undefined) return false;
    const serving = servers
      .all()
      .filter((server) => server.service === service && !server.isDraining);
    return (
      serving.length > 0 && serving.every((server) => server.softwareVersion !== streamVersion)
    );
  };

  /** Refuses a request that cannot be sent to any server of this region. */
  const refuseWithoutServer = (
    plan: RequestPlan,
    restricted: RestrictedServer | undefined,
    nowMs: number,
  ): Refused => {
    if (isVersionGone(plan)) {
      return {
        kind: 'none',
        reason: 'streamVersionGone',
        retryAfterMs: undefined,
        basis: undefined,
      };
    }
    if (restricted !== undefined) return refuser.refuseRestricted(plan, restricted, nowMs);
    if (links.isCut()) return refuser.refuseUnreachable(plan, nowMs);
    const hasServersElsewhere =
      !plan.isForwarded && otherRegions.regionsWithServers(plan).length > 0;
    return refuser.refuseWithoutServer(plan, hasServersElsewhere, nowMs);
  };

  const exceededBound = (
    choice: LocalChoice,
    request: InboundRequest,
    plan: RequestPlan,
    maxWaitMs: number,
    nowMs: number,
  ): ExceededBound | undefined => {
    if (!isBoundToSome(plan)) {
      return admission.exceededBound(choice, request, plan, maxWaitMs, nowMs);
    }
    return admission.admitsBound(choice, plan, nowMs) ? undefined : 'deadline';
  };

  const chooseAmong = (
    { best, unreachable, restricted }: LocalChoices,
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Finding => {
    const maxWaitMs = admission.maxWaitMs(plan, nowMs);
    const isOverMaxWait = best !== undefined && waitMsOf(best) > maxWaitMs;
    const peer = choosePeer(plan, best, isOverMaxWait, tried);
    if (peer !== undefined) return peer;
    // If no server is reachable and no other region helps, a server that is only suspected to be
    // unreachable is the best choice.
    const choice = best ?? unreachable;
    if (choice === undefined) {
      return { kind: 'none', refuse: () => refuseWithoutServer(plan, restricted, nowMs) };
    }
    const exceeded = exceededBound(choice, request, plan, maxWaitMs, nowMs);
    if (exceeded !== undefined) {
      return {
        kind: 'none',
        refuse: () => refuser.refuseTooSlow(plan, choice, maxWaitMs, exceeded, nowMs),
      };
    }
    const { server } = choice;
    if (server.coldUntilMs > nowMs) coldServerLimiter.recordSent(server.incarnationId, nowMs);
    return { kind: 'server', ...choice };
  };

  /** Finds a destination. */
  const find = (
    request: InboundRequest,
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): Found => {
    const known = localServers.outlook(request, plan, tried, nowMs);
    const detour = plan.isForwarded ? undefined : chooseDetour(plan, known, tried);
    const choices = links.isCut() ? NO_LOCAL_CHOICES : known;
    const { best, absence } = choices;
    if (detour !== undefined) {
      return { finding: detour, best: undefined, absence, countsForShare: false };
    }
    const verdict = shareGate.check(request, plan, best, nowMs);
    if (!verdict.isAdmitted) {
      // The account has its share of this region only; another one may have room for the request.
      const finding: Finding = choosePeer(plan, best, true, tried) ?? {
        kind: 'none',
        refuse: () => refuser.refuseOverShare(plan, verdict.admittedShare, nowMs),
      };
      return { finding, best, absence, countsForShare: false };
    }
    admission.recordDemand(request, plan, best, nowMs);
    const finding = chooseAmong(choices, request, plan, tried, nowMs);
    return { finding, best, absence, countsForShare: true };
  };

  const roomNow = (
    plan: RequestPlan,
    absence: ServerAbsence | undefined,
    nowMs: number,
  ): RoomAtRefusal => ({
    absence,
    idleServers: localServers.idleServers(plan, nowMs),
    freeSlotsElsewhere: plan.isForwarded ? 0 : otherRegions.freeSlots(plan),
  });

  /** Adds the silent and suspect servers of this region to the destinations that are left out. */
  const withSilent = (
    plan: RequestPlan,
    tried: TriedDestinations,
    nowMs: number,
  ): TriedDestinations => {
    const silentIds = servers
      .usable(plan.service, region, plan.streamVersion)
      .map(({ incarnationId }) => incarnationId)
      .filter(
        (incarnationId) =>
          loads.unheardMs(incarnationId, nowMs) > MAX_SILENCE_MS ||
          loads.unprogressedMs(incarnationId, nowMs) > MAX_UNPROGRESSED_MS ||
          suspicions.standing(incarnationId, nowMs) !== 'sound',
      );
    return { ...tried, ids: new Set([...tried.ids, ...silentIds]) };
  };

  return {
    loads,
    refusals,
    suspicions,
    speeds,
    serverSpeeds: options.serverSpeeds,
    prefixes,
    correction,
    usualTimes,
    spillWindows,
    wereLinksCutSince: links.wasCutSince,
    choose(request, plan, tried, nowMs) {
      const avoided = plan.isHedge === true ? withSilent(plan, tried, nowMs) : tried;
      const { finding, best, absence, countsForShare } = find(request, plan, avoided, nowMs);
      const destination: Destination =
        finding.kind === 'none'
          ? { ...finding.refuse(), room: roomNow(plan, absence, nowMs) }
          : finding;
      if (countsForShare) shareGate.record(request, plan, best, destination, nowMs);
      return destination;
    },
    chooseBeside(request, plan, tried, nowMs) {
      const { finding } = find(request, plan, withSilent(plan, tried, nowMs), nowMs);
      return finding.kind === 'none' ? undefined : finding;
    },
    waitMs: ({ service }) => localServers.waitMs(service),
    recordAdmitted: refuser.recordAdmitted,
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
      suspicions.keepOnly(known);
      prefixes.keepOnly(known);
      options.serverSpeeds?.keepOnly(known);
      coldServerLimiter.keepOnly(known);
    },
  };
}
