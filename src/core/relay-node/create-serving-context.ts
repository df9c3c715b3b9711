import { createAccountShares } from '../account-shares';
import { createBrittleServers } from '../brittle-servers';
import type { Clock } from '../clock';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { Gossip } from '../gossip';
import type { RouteTable, RouteTableStore } from '../host-routes';
import type { DisposableStore } from '../lifetime';
import {
  createPeerLoads,
  createLoadBroadcaster,
  createCachedPartsBuffer,
  parseLoadUpdate,
} from '../load-sharing';
import type { Metrics } from '../metrics';
import {
  createCrashInvestigations,
  createReserveSlots,
  createRouter,
  createWarmCheck,
  largestPart,
} from '../pass-through';
import type {
  CheckConnection,
  HeaderDialect,
  ServeDependencies,
  ServedRequest,
} from '../pass-through';
import { createServerSpeeds } from '../placement';
import type { RandomSource } from '../random';
import { createCutInstances, createReachability } from '../reachability';
import { createServerLimits } from '../server-limits';
import type { ServerLimits } from '../server-limits';
import { createServerNotices } from '../server-notices';
import type { ServerRegistry } from '../server-registry';
import { createColdServerLimiter, createRetryAllowance } from '../shared-budget';
import type { FollowedChanges } from '../state-sync';
import { createStreamVersions } from '../stream-versions';
import { createCrashProtection } from './create-crash-protection';
import { createHeldRooms } from './create-held-rooms';
import { observeStreamVersions } from './observe-stream-versions';
import type { KnownInstances } from './known-instances';
import type { RelaySettings } from './settings';

/** Options of {@link createServingContext}. */
export interface ServingContextOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly settings: () => RelaySettings;
  readonly peerSecret: string;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly pool: ConnectionPool;
  readonly gossip: Gossip;
  readonly metrics: Metrics;
  readonly instances: KnownInstances;
  /** Sends a load update of this instance to another instance of its region. */
  readonly sendStatement: (address: string, text: string) => void;
  /** Whether this instance counts limits for others; false once it is leaving. */
  readonly isCounting: () => boolean;
  /** Monotonic time since which the published state has been followed without a gap; undefined while it is not. */
  readonly followedSinceMs: () => number | undefined;
  /** Returns for which time all published changes are known here. */
  readonly followedChanges: () => FollowedChanges;
}

/** Connections to a server up to which a health check may open one. */
const MAX_CHECK_CONNECTIONS = 64;

function createRequestCounter(metrics: Metrics) {
  return ({ plan, result, firstByteMs, totalMs, attempts, grounds }: ServedRequest): void => {
    // The instance that forwarded a request counts its attempts, including those that this one reports to it.
    if (!plan.isForwarded) metrics.attempts(plan.route, attempts);
    if (result === 'answered') metrics.answered(plan.route, firstByteMs, totalMs);
    else if (result === 'brokenOff') metrics.cutShort(plan.route);
    else if (result === 'callerGone') metrics.callerGone(plan.route);
    else metrics.refused(result, plan.service);
    const basis = grounds?.basis;
    if (basis?.kind !== 'tooSlow') return;
    metrics.refusedForPrediction(plan.service, basis.exceeded, largestPart(basis.best));
  };
}

/** Dependencies of request handling, with the operations that keep their state up to date. */
export interface ServingContext extends ServeDependencies {
  /** Records a route table that has come into force, or was in force before this instance started. */
  recordRoutes(table: RouteTable): void;
  /** Drops the state of servers that are no longer registered, which would otherwise accumulate. */
  forgetRemovedServers(): void;
  /** Processes a message on what servers state or accounts demand; returns whether the text was a valid one. */
  receiveServerMessage(text: string): boolean;
  /** Sends what is due to the other instances of the region, and decides what is due on servers. */
  runDueTasks(): void;
  /** Applies a load update received from another instance. */
  receiveLoadUpdate(text: string): void;
  /** Sends this instance's load and the demand of its accounts to the other instances of its region if it is due. */
  sendLoad(): void;
}

/** Creates the dependencies of request handling; those that need disposal are added to `owned`. */
export function createServingContext(
  options: ServingContextOptions,
  owned: DisposableStore,
): ServingContext {
  const { clock, random, logger, dialect, routes, servers, pool, instances } = options;
  const { instanceId, region, failureDomain, trafficPolicy } = options.settings();
  const ownAddress = () => {
    const { listeners, forwardingPort } = options.settings();
    return `${listeners.forwarding.host}:${forwardingPort}`;
  };
  const self = () => ({ instanceId, region, address: ownAddress() });
  const notices = createServerNotices({
    clock,
    logger,
    self,
    peers: instances.possiblyAlivePeers,
    send: options.sendStatement,
    onDeparture: (incarnationId) => servers.markLeaving(incarnationId, clock.monotonicMs()),
    checkHealth,
  });
  const limits: ServerLimits = createServerLimits({
    clock,
    logger,
    self,
    isCounting: options.isCounting,
    peers: instances.possiblyAlivePeers,
    reachableShare: instances.reachableShare,
    send: options.sendStatement,
    checkHealth(incarnationId) {
      if (notices.waitMs(incarnationId) === 0) checkHealth(incarnationId);
    },
  });
  const brittle = createBrittleServers({
    clock,
    logger,
    self,
    peers: instances.possiblyAlivePeers,
    reachableShare: instances.reachableShare,
    send: options.sendStatement,
  });
  options.metrics.gauge(
    'coltsfootworks_brittle_services',
    'Services whose backend servers state that they fail if they have to reject many requests',
    brittle.brittleCount,
  );
  const streamVersions = createStreamVersions({
    clock,
    logger,
    self: () => ({ ...self(), failureDomain }),
    peers: instances.possiblyAliveAnywhere,
    servers,
    routes,
    followedChanges: options.followedChanges,
    send: options.sendStatement,
  });
  observeStreamVersions(options.metrics, streamVersions);
  const peerLoads = createPeerLoads();
  const cachedParts = createCachedPartsBuffer();
  /** Returns the addresses of the other instances of the region. */
  const addressesInRegion = () =>
    instances
      .peers()
      .filter((peer) => peer.region === region)
      .map((peer) => peer.forwardAddress);
  const accountShares = createAccountShares({
    selfId: instanceId,
    logger,
    incarnation: clock.unixMs(),
    isEnabled: () => options.settings().trafficPolicy.accountShares,
    addresses: addressesInRegion,
    send: options.sendStatement,
    draw: () => random.next(),
  });
  const serverSpeeds = trafficPolicy.serverSpeeds ? createServerSpeeds() : undefined;
  const reachability = createReachability({
    clock,
    logger,
    region,
    servers,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called after it exists
    silentMs: (incarnationId) => router.loads.silentMs(incarnationId, clock.monotonicMs()),
    check: (incarnationId) => checkHealth(incarnationId, 'newConnection'),
  });
  const cutInstances = createCutInstances({
    clock,
    selfId: instanceId,
    sendToAll(text) {
      for (const peer of instances.possiblyAliveAnywhere()) {
        options.sendStatement(peer.address, text);
      }
    },
  });
  options.metrics.gauge(
    'coltsfootworks_cut_instances',
    'Other instances that state that they reach no backend server',
    cutInstances.count,
  );
  const router = createRouter({
    links: reachability,
    serverSpeeds,
    accountShares,
    otherLoads: peerLoads,
    onPartsCached: cachedParts.add,
    region,
    routes,
    servers,
    pool,
    limits: {
      waitMs: (incarnationId) =>
        Math.max(limits.waitMs(incarnationId), brittle.waitMs(incarnationId)),
    },
    notices,
    coldServerLimiter: createColdServerLimiter({
      selfId: instanceId,
      startedAtMs: clock.monotonicMs(),
      instancesInRegion: instances.possiblyAliveInRegion,
    }),
    peers: () => instances.peers().filter((peer) => !cutInstances.isCutOff(peer.instanceId)),
    instancesInRegion: instances.countInRegion,
    priorityAdmission: options.settings().trafficPolicy.priorityAdmission,
    draw: () => random.next(),
    regionalRoom: () => options.settings().trafficPolicy.regionalRoom,
  });
  const loadSender = createLoadBroadcaster({
    selfId: instanceId,
    // Requests of an instance that is cut off hang here, whatever has become of them at the servers.
    servers: () => (reachability.isCut() ? [] : router.loads.ownLoads()),
    cachedParts,
    addresses: addressesInRegion,
    send: options.sendStatement,
  });
  const { followedSinceMs } = options;
  const warmCheck = createWarmCheck({
    clock,
    dialect,
    pool,
    routes,
    servers,
    limits,
    notices,
    brittle,
    reachability,
    serverSpeeds,
    followedSinceMs,
  });
  options.metrics.gauge(
    'coltsfootworks_unreachable_servers',
    'Backend servers that this instance has not reached since it last failed to',
    reachability.unreachableCount,
  );
  options.metrics.gauge(
    'coltsfootworks_limited_servers',
    'Backend servers that name a limit on their requests',
    limits.limitedCount,
  );
  options.metrics.gauge(
    'coltsfootworks_denied_permits',
    'Permits for requests to limited servers that were denied',
    limits.deniedCount,
  );
  options.metrics.gauge(
    'coltsfootworks_servers_leaving_by_answer',
    'Backend servers that stated in an answer that they are leaving',
    notices.leavingCount,
  );
  options.metrics.gauge(
    'coltsfootworks_paused_servers',
    'Backend servers in a pause that they asked for',
    notices.pausedCount,
  );
  // Only regions of the settings have servers, so there are as many labels as regions.
  options.metrics.labelledGauge(
    'coltsfootworks_requests_sent_to_region',
    'Requests sent to instances of another region',
    'region',
    router.spillWindows.sentByRegion,
  );
  options.metrics.gauge(
    'coltsfootworks_scarce_services',
    'Services whose servers lately had no room for requests of client accounts',
    () => accountShares.scarceCount(clock.monotonicMs()),
  );
  options.metrics.gauge(
    'coltsfootworks_accounts_over_share',
    'Client accounts that get less than they ask for, added over scarce services',
    () => accountShares.overShareCount(clock.monotonicMs()),
  );
  const investigations = createCrashInvestigations({
    clock,
    region,
    servers,
    warmCheck,
    draw: () => random.next(),
    lastReachedAtMs: reachability.lastReachedAtMs,
  });
  const crashes = createCrashProtection(
    { ...options, investigations, draw: () => random.next() },
    owned,
  );
  function checkHealth(incarnationId: string, over?: CheckConnection): void {
    const server = servers.all().find((known) => known.incarnationId === incarnationId);
    if (server === undefined || server.isDraining) return;
    // Without its service, the path of a health check is unknown, and any other might be work for the server.
    if (routes.current()?.table.services.has(server.service) !== true) return;
    warmCheck.ask(server, MAX_CHECK_CONNECTIONS, () => {}, over);
  }

  let hedgesBegun = 0;
  options.metrics.gauge(
    'coltsfootworks_hedges_begun',
    'Attempts that were begun beside silent ones since the start',
    () => hedgesBegun,
  );
  const { bodies, room } = createHeldRooms({
    clock,
    metrics: options.metrics,
    memoryBytes: options.settings().memoryBytes,
  });
  options.metrics.gauge(
    'coltsfootworks_suspected_servers',
    'Backend servers that get one request at a time at most, since an answer of theirs had no end',
    router.suspicions.count,
  );
  const retries = createRetryAllowance(() => options.settings().retryBudget, instances.count);
  return {
    clock,
    logger,
    dialect,
    pool,
    router,
    warmCheck,
    crashWatch: crashes.watch,
    retries,
    hedges: {
      isEnabled: () => options.settings().trafficPolicy.silenceHedges,
      recordBegun() {
        hedgesBegun += 1;
      },
    },
    reserveSlots: createReserveSlots(),
    limits,
    notices,
    brittle,
    reachability,
    bodies,
    room,
    streamVersions,
    mayReceive: (server) => servers.isUsable(server) && notices.waitMs(server.incarnationId) === 0,
    onReplaced: servers.markReplaced,
    onEndless: options.metrics.endless,
    onDone: createRequestCounter(options.metrics),
    onRefused: (reason, service) => options.metrics.refused(reason, service),
    onUnanswered: options.metrics.unanswered,
    recordRoutes: streamVersions.recordRoutes,
    receiveServerMessage: (text) =>
      streamVersions.receive(text) ||
      limits.receive(text) ||
      notices.receive(text) ||
      crashes.receive(text) ||
      brittle.receive(text) ||
      cutInstances.receive(text) ||
      accountShares.receive(text, clock.monotonicMs()),
    runDueTasks() {
      limits.runDue();
      notices.runDue();
      brittle.runDue();
      streamVersions.runDue();
      reachability.runDue();
      cutInstances.sendIfDue(reachability.isCut());
      investigations.runDue();
    },
    receiveLoadUpdate(text) {
      const update = parseLoadUpdate(text);
      if (update === undefined) return;
      peerLoads.receive(update, clock.monotonicMs());
      router.recordPeerCachedParts(update.cachedParts);
    },
    sendLoad() {
      const nowMs = clock.monotonicMs();
      peerLoads.removeExpired(nowMs);
      loadSender.sendIfDue(nowMs);
      accountShares.sendIfDue(nowMs);
    },
    forgetRemovedServers() {
      const knownIds = new Set(servers.all().map((server) => server.incarnationId));
      router.keepOnly(knownIds);
      warmCheck.keepOnly(knownIds);
      limits.keepOnly(knownIds);
      notices.keepOnly(knownIds);
      brittle.keepOnly(knownIds);
      reachability.keepOnly(knownIds);
    },
  };
}
