import { createAccountQuotas } from '../account-quotas';
import { createCaller, openCallListener } from '../calls';
import type { CallHandler } from '../calls';
import type { CallerPlace } from '../client-directory';
import { chooseAddresses } from '../client-directory';
import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { Logger } from '../events';
import { createConnectionPool } from '../exchanges';
import { createGossipBoard } from '../gossip';
import { createRouteTableStore } from '../host-routes';
import { createDisposableStore } from '../lifetime';
import type { DisposableStore } from '../lifetime';
import { createIntake, createLoopWatch } from '../intake';
import type { Turns } from '../intake';
import { createMembership } from '../membership';
import { createMetrics } from '../metrics';
import type { Metrics } from '../metrics';
import { createReadyConnections, openIngress } from '../pass-through';
import type { HeaderDialect, Ingress } from '../pass-through';
import type { RandomSource } from '../random';
import { createServerRegistry } from '../server-registry';
import { answerWatches, createRelayedSource, createWatcherClient } from '../state-relay';
import { createStateSync, writeSnapshot } from '../state-sync';
import type { StateSource } from '../state-sync';
import { createServing } from './create-serving';
import { RELAY_NODE_EVENTS } from './events';
import { EXCHANGE_PATH, answerExchanges, createExchangeCalls } from './exchange-calls';
import { HERE_PATH, STATE_PATH, fetchPeerState } from './fetch-peer-state';
import { createKnownInstances } from './known-instances';
import { repeat } from './repeat';
import type { RelaySettings } from './settings';
import { startTicks } from './start-ticks';
import { STATEMENT_PATH, answerStatements, createStatementSender } from './send-statement';
import { openStatementSocket } from './statement-socket';
import { createStopState } from './stop-state';

/** What an instance is made from. */
export interface RelayNodeOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly turns: Turns;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly source: StateSource;
}

/** A running instance that passes requests through. */
export interface RelayNode extends AsyncDisposable {
  readonly callerPort: number;
  readonly metrics: Metrics;
  /** Whether callers can be served: routes are in force and no stop has begun. */
  isReady(): boolean;
  /** Caller addresses of the instances that a caller of the host is to use. */
  resolve(host: string, place: CallerPlace): readonly string[];
  /** Begins a planned stop, and resolves when the process may end. */
  stop(): Promise<void>;
  /** Takes over settings that may change while the instance runs. */
  apply(settings: RelaySettings): void;
}

/** Key of the marks that instances of one deployment make of requests; the platform hands out no secret. */
const PEER_SECRET = 'coltsfootworks-peers';
/** Rest between two looks at whether a stop may end, ms. */
const STOP_LOOK_MS = 50;
/** Rest between two rounds of forgetting servers that have gone, ms. */
const FORGET_EVERY_MS = 5_000;
/** Rest between two looks at the limits in force for callers' connections, ms; they change with the routes. */
const LIMITS_EVERY_MS = 1_000;
/** Rest between two looks at the connections to other regions: an instance that comes back is met within it, ms. */
const REFILL_EVERY_MS = 500;

/**
 * Rest between two ticks of the event loop, ms, which show how late it is; at each, this instance's load is told if it is
 * time, which is a few times a second.
 */
const TICK_MS = 50;

/** Starts an instance whose parts `owned` releases. */
async function startOwned(options: RelayNodeOptions, owned: DisposableStore): Promise<RelayNode> {
  const { clock, random, logger, dialect } = options;
  let { settings } = options;
  const { instanceId, region, failureDomain, listeners } = settings;
  const nowMs = () => clock.monotonicMs();

  const pool = owned.add(createConnectionPool(nowMs));
  const routes = createRouteTableStore();
  const servers = createServerRegistry({
    regionOf: (domain) => settings.regionOfDomain[domain],
    coldStartMs: (service) => routes.current()?.table.services.get(service)?.coldStartMs ?? 0,
    // Connections to a start that is over are reset, and with them whatever is sent there next.
    onRestarted: ({ address }) => pool.forget(address),
  });
  const metrics = createMetrics();
  const gossip = createGossipBoard(instanceId, clock);
  const caller = createCaller({ clock, pool });
  const stopping = new AbortController();
  owned.defer(() => stopping.abort());
  let inFlight = () => 0;
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
      transport: createExchangeCalls(clock, caller, stopping.signal),
      seedPeers: settings.seedPeers,
      describeSelf: () => ({
        instanceId,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        inFlightRequests: inFlight(),
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
  const relayed = createRelayedSource({
    clock,
    logger,
    source: options.source,
    watchers: createWatcherClient(clock, caller),
    self: { instanceId, failureDomain },
    others: instances.perhapsWatching,
  });
  isWatching = relayed.isWatching;
  const sync = owned.add(
    createStateSync({
      clock,
      random,
      logger,
      source: relayed,
      routes,
      servers,
      onRoutes: () => membership.prompt(() => true),
      latestElsewhere: () =>
        membership
          .usablePeers()
          .reduce((latest, peer) => Math.max(latest, peer.configurationVersion), 0),
      async askPeer(signal) {
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
      sendLarge: createStatementSender(pool),
    }),
  );
  const writeState = () => writeSnapshot(sync.snapshot());

  const serving = createServing(
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
      sendStatement: statements.send,
    },
    owned,
  );
  const { router } = serving;
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
  /** Statements of load are rows, messages about quotas objects. */
  const takeStatement = (text: string): void => {
    if (text.startsWith('{')) quotas.take(text);
    else serving.takeStatement(text);
  };
  statements.onStatement(takeStatement);
  inFlight = () => router.loads.totalInFlight();
  const listenersOpen: Ingress[] = [];
  const watch = createLoopWatch();
  const intake = createIntake({ clock, turns: options.turns, random, logger, watch });
  metrics.gauge('coltsfootworks_loop_lag_ms', 'Lateness of the event loop', watch.lagMs);
  metrics.gauge('coltsfootworks_intake_waiting', 'Requests that wait in the process', intake.size);
  metrics.gauge(
    'coltsfootworks_watches_source',
    'Whether this instance watches the source of published state itself',
    () => Number(relayed.isWatching()),
  );
  const openRequests = () =>
    listenersOpen.reduce((sum, listener) => sum + listener.openRequests(), 0);
  const stopState = createStopState({
    nowMs,
    stopWithinMs: () => settings.stopWithinMs,
    openRequests,
  });
  const shared = {
    clock,
    random,
    logger,
    routes,
    retries: serving.retries,
    serving,
    quotas,
    intake,
    watch,
    isLeaving: stopState.isLeaving,
    isRefusing: stopState.isRefusing,
  };

  const peerListener = owned.add(
    await openCallListener({
      ...listeners.peers,
      logger,
      handlers: new Map([[EXCHANGE_PATH, answerExchanges(membership.receive)]]),
    }),
  );
  peerAddress = `${listeners.peers.host}:${peerListener.port}`;
  const forwarding = owned.add(
    await openIngress({
      ...shared,
      ...listeners.forwarding,
      from: 'peers',
      calls: new Map<string, CallHandler>([
        [STATE_PATH, () => ({ status: 200, text: writeState() })],
        [HERE_PATH, () => ({ status: 200, text: '{}' })],
        [STATEMENT_PATH, answerStatements(takeStatement)],
        ...answerWatches({ ...relayed, clock, writeState }),
      ]),
    }),
  );
  const ingress = owned.add(
    await openIngress({ ...shared, ...listeners.callers, from: 'callers' }),
  );
  callerAddress = `${listeners.callers.host}:${ingress.port}`;
  listenersOpen.push(ingress, forwarding);

  const readyConnections = createReadyConnections({
    selfId: instanceId,
    region,
    pool,
    peers: instances.peers,
    path: HERE_PATH,
  });

  membership.start();
  sync.start();
  owned.add(repeat(clock, FORGET_EVERY_MS, serving.forgetGone));
  owned.add(
    startTicks(clock, TICK_MS, (dueAtMs, nextDueAtMs) => {
      watch.noteTick(dueAtMs, nextDueAtMs, nowMs());
      serving.tellLoad();
      quotas.tell();
    }),
  );
  owned.add(repeat(clock, LIMITS_EVERY_MS, ingress.applyLimits));
  owned.add(repeat(clock, REFILL_EVERY_MS, readyConnections.refill));
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
    resolve(host, place) {
      const others = membership.usablePeers().filter((member) => member.configurationVersion > 0);
      const own = isReady() ? [membership.self()] : [];
      const leaving = membership.members().filter((member) => member.status === 'leaving');
      const homeRegions = routes.current()?.selector.homeRegions(host) ?? [];
      return chooseAddresses({ alive: [...own, ...others], leaving, homeRegions }, place);
    },
    async stop() {
      stopState.begin();
      membership.markLeaving();
      logger.event(RELAY_NODE_EVENTS.stopping, { openRequests: openRequests() });
      while (stopState.step() !== 'exit') await sleepUntil(clock, nowMs() + STOP_LOOK_MS);
      logger.event(RELAY_NODE_EVENTS.stopped, { openRequests: openRequests() });
    },
    apply(changed) {
      settings = changed;
      logger.event(RELAY_NODE_EVENTS.settingsChanged, { seeds: changed.seedPeers });
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}

/**
 * Starts an instance: its listeners, its membership and its copy of what is published. Where one of these cannot be
 * opened, those before it are released: left open, they would keep the process from ending and its ports from the next.
 */
export async function startRelayNode(options: RelayNodeOptions): Promise<RelayNode> {
  const owned = createDisposableStore();
  try {
    return await startOwned(options, owned);
  } catch (error) {
    await owned[Symbol.asyncDispose]();
    throw error;
  }
}
