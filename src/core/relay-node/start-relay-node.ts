import { createAccountQuotas } from '../account-quotas';
import { createCallClient, openCallListener } from '../calls';
import type { CallHandler } from '../calls';
import type { CallerLocation } from '../client-directory';
import { chooseAddresses } from '../client-directory';
import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { Logger } from '../events';
import { createConnectionPool } from '../exchanges';
import { createGossipStore } from '../gossip';
import { createRouteTableStore } from '../host-routes';
import type { RouteTable } from '../host-routes';
import { createDisposableStore } from '../lifetime';
import type { DisposableStore } from '../lifetime';
import { createIntake, createLoopWatch } from '../intake';
import type { AssertionFailure } from '../failed-assertions';
import type { EventLoopTurns } from '../intake';
import { createMembership } from '../membership';
import type { ServiceRequests } from '../membership';
import { createLoopActivity } from '../loop-activity';
import { createMetrics } from '../metrics';
import type { Metrics } from '../metrics';
import { createStandbyConnections, openIngress, sumByService } from '../pass-through';
import type { HeaderDialect, Ingress } from '../pass-through';
import type { RandomSource } from '../random';
import { createServerRegistry } from '../server-registry';
import { createWatchHandlers, createRelayedSource, createWatcherClient } from '../state-relay';
import { createStateSync, serializeSnapshot } from '../state-sync';
import type { StateSource } from '../state-sync';
import { createServingContext } from './create-serving-context';
import { RELAY_NODE_EVENTS } from './events';
import {
  EXCHANGE_PATH,
  createExchangeHandler,
  createExchangeTransport,
} from './exchange-transport';
import { PING_PATH, STATE_PATH, fetchPeerState } from './fetch-peer-state';
import { createKnownInstances } from './known-instances';
import { recordDisturbances } from './record-disturbances';
import { repeat } from './repeat';
import type { RelaySettings } from './settings';
import { startTicks } from './start-ticks';
import { STATEMENT_PATH, createStatementHandler, createStatementSender } from './send-statement';
import { openStatementSocket } from './statement-socket';
import { createStopState } from './stop-state';

/** Options of {@link startRelayNode}. */
export interface RelayNodeOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly turns: EventLoopTurns;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly source: StateSource;
  /** Registers a listener for failed assertions of libraries; undefined where they are not watched. */
  readonly onFailedAssertion?: (listener: (failure: AssertionFailure) => void) => void;
}

/** A running instance that passes requests through. */
export interface RelayNode extends AsyncDisposable {
  readonly callerPort: number;
  readonly metrics: Metrics;
  /** Returns whether callers can be served: routes are loaded and no stop has begun. */
  isReady(): boolean;
  /** Returns the addresses of the instances that a caller of the host should use. */
  resolve(host: string, location: CallerLocation): readonly string[];
  /** Begins a planned stop, and resolves when the process may end. */
  stop(): Promise<void>;
  /** Applies changed settings; only those that may change while the instance runs take effect. */
  applySettings(settings: RelaySettings): void;
}

/** Key of the request fingerprints that instances of one deployment share; the platform provides no secret. */
export const PEER_SECRET = 'coltsfootworks-peers';
/** Interval at which a planned stop checks whether it may end, ms. */
const STOP_CHECK_INTERVAL_MS = 50;
/** Interval at which the state of removed servers is dropped, ms. */
const FORGET_INTERVAL_MS = 5_000;
/** Interval at which the limits on callers' connections are applied, ms; they change with the routes. */
const LIMITS_INTERVAL_MS = 1_000;
/** Interval at which missing connections to other regions are opened, ms; bounds the delay for a returning instance. */
const REFILL_INTERVAL_MS = 500;

/**
 * Interval between ticks, ms. Each tick measures the lag of the event loop and sends this instance's load if it is due,
 * which is a few times a second.
 */
const TICK_INTERVAL_MS = 50;

/** Starts an instance and adds each component that must be disposed of to `owned`. */
async function startInstance(
  options: RelayNodeOptions,
  owned: DisposableStore,
): Promise<RelayNode> {
  const { clock, random, logger, dialect } = options;
  let { settings } = options;
  const { instanceId, region, failureDomain, listeners } = settings;
  const nowMs = () => clock.monotonicMs();

  const activity = createLoopActivity(clock);
  const pool = owned.add(createConnectionPool(nowMs, activity));
  const routes = createRouteTableStore();
  const servers = createServerRegistry({
    regionOf: (domain) => settings.regionOfDomain[domain],
    coldStartMs: (service) => routes.current()?.table.services.get(service)?.coldStartMs ?? 0,
    // Connections to the previous process of a server are dead; a request sent over one would be reset.
    onRestarted: ({ address }) => pool.closeIdle(address),
  });
  const metrics = createMetrics();
  const gossip = createGossipStore(instanceId, clock);
  const caller = createCallClient({ clock, pool });
  const stopping = new AbortController();
  owned.defer(() => stopping.abort());
  let inFlightCount = () => 0;
  let recordRoutes: (table: RouteTable) => void = () => {};
  let openRequestsByService = (): readonly ServiceRequests[] | undefined => undefined;
  let isWatching = () => false;
  let callerAddress = '';
  let peerAddress = '';

  const membership = owned.add(
    createMembership({
      clock,
      random,
      logger,
      gossip,
      incarnation: clock.unixMs(),
      transport: createExchangeTransport(clock, caller, stopping.signal),
      seedPeers: settings.seedPeers,
      describeSelf: () => ({
        instanceId,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        inFlightRequests: inFlightCount(),
        openRequestsByService: openRequestsByService(),
        configurationVersion: routes.current()?.table.version ?? 0,
        configurationDigest: 0,
        configurationSinceUnixMs: 0,
        configurationConfirmed: true,
        watching: isWatching(),
      }),
    }),
  );

  const instances = createKnownInstances({
    membership,
    region,
    forwardingPort: () => settings.forwardingPort,
  });
  const relayedSource = createRelayedSource({
    clock,
    logger,
    source: options.source,
    watchers: createWatcherClient(clock, caller),
    self: { instanceId, failureDomain },
    others: instances.potentialWatchers,
  });
  isWatching = relayedSource.isWatching;
  const sync = owned.add(
    createStateSync({
      clock,
      random,
      logger,
      source: relayedSource,
      routes,
      servers,
      onRoutesChanged() {
        membership.exchangeNow(() => true);
        const inForce = routes.current();
        if (inForce !== undefined) recordRoutes(inForce.table);
      },
      onPastRoutes: (table) => recordRoutes(table),
      latestPeerVersion: () =>
        membership
          .usablePeers()
          .reduce((latest, peer) => Math.max(latest, peer.configurationVersion), 0),
      async readPeerState(signal) {
        const others = instances.peers();
        const peer = others[Math.floor(random.next() * others.length)];
        return peer === undefined
          ? undefined
          : fetchPeerState({ clock, logger, caller }, peer.forwardAddress, signal);
      },
    }),
  );

  const statements = owned.add(
    await openStatementSocket({
      ...listeners.forwarding,
      logger,
      sendLarge: createStatementSender(pool, clock),
    }),
  );
  const serializeState = () => serializeSnapshot(sync.snapshot());

  const serving = createServingContext(
    {
      clock,
      random,
      logger,
      dialect,
      settings: () => settings,
      peerSecret: PEER_SECRET,
      routes,
      servers,
      pool,
      gossip,
      metrics,
      instances,
      followedSinceMs: sync.followedSinceMs,
      followedChanges: sync.followedChanges,
      isCounting: () => membership.self().status !== 'leaving',
      sendStatement: statements.send,
    },
    owned,
  );
  const { router } = serving;
  ({ recordRoutes } = serving);
  const quotas = createAccountQuotas({
    clock,
    self: () => ({
      instanceId,
      region,
      address: `${listeners.forwarding.host}:${settings.forwardingPort}`,
    }),
    peers: () =>
      instances
        .peers()
        .map(({ forwardAddress, ...peer }) => ({ ...peer, address: forwardAddress })),
    regions: () => [...new Set(Object.values(settings.regionOfDomain))],
    quotaOf: (account) => routes.current()?.accounts?.byName(account)?.quota,
    send: statements.send,
  });
  /** Dispatches a received statement: load updates are JSON arrays, others JSON objects. */
  const receiveStatement = (text: string): void => {
    if (!text.startsWith('{')) serving.receiveLoadUpdate(text);
    else if (!quotas.receive(text)) serving.receiveServerMessage(text);
  };
  statements.onStatement((text) => {
    activity.begin('statement');
    receiveStatement(text);
  });
  inFlightCount = () => router.loads.totalInFlight();
  // Only the choice by room reads the list, so that without it the records stay as short as they were.
  openRequestsByService = () =>
    settings.trafficPolicy.regionalRoom
      ? sumByService(router.loads.ownLoads(), servers.all())
      : undefined;
  const requestListeners: Ingress[] = [];
  const loopWatch = createLoopWatch();
  const intake = createIntake({ clock, turns: options.turns, random, logger, loopWatch });
  metrics.gauge('coltsfootworks_loop_lag_ms', 'Lateness of the event loop', loopWatch.lagMs);
  const stalls = recordDisturbances({ ...options, metrics, activity });
  metrics.gauge(
    'coltsfootworks_statements_waiting',
    'Statements on crashes that the instance which lags most has yet to be sent',
    membership.waitingStatements,
  );
  metrics.gauge('coltsfootworks_intake_waiting', 'Requests that wait in the process', intake.size);
  metrics.gauge(
    'coltsfootworks_watches_source',
    'Whether this instance watches the source of published state itself',
    () => Number(relayedSource.isWatching()),
  );
  const openRequests = () =>
    requestListeners.reduce((sum, listener) => sum + listener.openRequests(), 0);
  const stopState = createStopState({
    nowMs,
    stopWithinMs: () => settings.stopWithinMs,
    openRequests,
  });
  const shared = {
    clock,
    turns: options.turns,
    random,
    logger,
    routes,
    retries: serving.retries,
    serving,
    quotas,
    intake,
    loopWatch,
    activity,
    isLeaving: stopState.isLeaving,
    isRefusing: stopState.isRefusing,
  };

  const peerListener = owned.add(
    await openCallListener({
      ...listeners.peers,
      logger,
      handlers: new Map([[EXCHANGE_PATH, createExchangeHandler(membership.receive)]]),
    }),
  );
  peerAddress = `${listeners.peers.host}:${peerListener.port}`;
  const forwarding = owned.add(
    await openIngress({
      ...shared,
      ...listeners.forwarding,
      from: 'peers',
      calls: new Map<string, CallHandler>([
        [STATE_PATH, () => ({ status: 200, text: serializeState() })],
        [PING_PATH, () => ({ status: 200, text: '{}' })],
        [STATEMENT_PATH, createStatementHandler(receiveStatement)],
        ...createWatchHandlers({ ...relayedSource, clock, serializeState }),
      ]),
    }),
  );
  const ingress = owned.add(
    await openIngress({ ...shared, ...listeners.callers, from: 'callers' }),
  );
  callerAddress = `${listeners.callers.host}:${ingress.port}`;
  requestListeners.push(ingress, forwarding);

  const standbyConnections = createStandbyConnections({
    selfId: instanceId,
    region,
    clock,
    pool,
    peers: instances.peers,
    path: PING_PATH,
  });

  membership.start();
  sync.start();
  owned.add(repeat(clock, FORGET_INTERVAL_MS, serving.forgetRemovedServers));
  owned.add(
    startTicks(clock, TICK_INTERVAL_MS, (dueAtMs, nextDueAtMs) => {
      loopWatch.recordTick(dueAtMs, nextDueAtMs, nowMs());
      stalls.recordLag(loopWatch.lagMs());
      activity.begin('periodicTasks');
      serving.sendLoad();
      serving.runDueTasks();
      quotas.sendDueReports();
    }),
  );
  owned.add(repeat(clock, LIMITS_INTERVAL_MS, ingress.applyLimits));
  owned.add(repeat(clock, REFILL_INTERVAL_MS, standbyConnections.refill));
  logger.event(RELAY_NODE_EVENTS.started, {
    callerAddress,
    peerAddress,
    seeds: settings.seedPeers,
  });

  const isReady = () => routes.current() !== undefined && !stopState.isLeaving();
  return {
    callerPort: ingress.port,
    metrics,
    isReady,
    resolve(host, location) {
      const others = membership.usablePeers().filter((member) => member.configurationVersion > 0);
      const own = isReady() ? [membership.self()] : [];
      const leaving = membership.members().filter((member) => member.status === 'leaving');
      const homeRegions = routes.current()?.selector.homeRegions(host) ?? [];
      return chooseAddresses({ alive: [...own, ...others], leaving, homeRegions }, location);
    },
    async stop() {
      stopState.begin();
      membership.markLeaving();
      logger.event(RELAY_NODE_EVENTS.stopping, { openRequests: openRequests() });
      while (stopState.step() !== 'exit') await sleepUntil(clock, nowMs() + STOP_CHECK_INTERVAL_MS);
      if (openRequests() > 0) {
        for (const listener of requestListeners) listener.expireRequests();
        // The ends of the attempts and the last bytes to the callers take a few turns.
        await sleepUntil(clock, nowMs() + STOP_CHECK_INTERVAL_MS);
      }
      logger.event(RELAY_NODE_EVENTS.stopped, { openRequests: openRequests() });
    },
    applySettings(changed) {
      settings = changed;
      logger.event(RELAY_NODE_EVENTS.settingsChanged, { seeds: changed.seedPeers });
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}

/**
 * Starts an instance: its listeners, its membership and its copy of the published state. If one of them fails to start,
 * those already started are released; otherwise they would keep the process alive and its ports occupied.
 */
export async function startRelayNode(options: RelayNodeOptions): Promise<RelayNode> {
  const owned = createDisposableStore();
  try {
    return await startInstance(options, owned);
  } catch (error) {
    await owned[Symbol.asyncDispose]();
    throw error;
  }
}
