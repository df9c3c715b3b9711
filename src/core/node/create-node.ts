import { createInFlight, createServerSender } from '../backends';
import type { Clock } from '../clock';
import { createConfigurationStore, currentResilience, weightsSchema } from '../configuration';
import { NO_CONFIGURATION, createConfigurationSync } from '../configuration-sync';
import { countServing, createDraining, gateServing } from '../draining';
import type { OpenWork } from '../draining';
import { createEngineClient, runEngineOrders } from '../engine-orders';
import type { DecisionRecorder } from '../decision-trace';
import type { Logger } from '../events';
import { createGossipStore } from '../gossip';
import { openHttpEdge } from '../http-edge';
import { createDisposableStore } from '../lifetime';
import { createLoadControl } from '../load-control';
import { createMembership } from '../membership';
import { createMetrics } from '../metrics';
import { createPauseGuard, createPeerRefresh, guardForwarder, guardSender } from '../pauses';
import {
  channelCredentials,
  createConfigurationAsker,
  createExchangeTransport,
  createPeerConnections,
  createForwardTransport,
  createPeerForwarder,
  openPeerServer,
  secretMetadata,
  serverCredentials,
} from '../peers';
import type { RandomSource } from '../random';
import { createConfigurationService } from '../platform';
import { createServerHealth, createServerProber, watchServerLists } from '../server-health';
import { checkRequest, createServing, observeSender } from '../serving';
import type { GatewayRequest, ServingDependencies } from '../serving';
import type { Settings } from '../settings';
import { createSpillover } from '../spillover';
import { NODE_EVENTS } from './events';
import { createProtections } from './create-protections';
import { createTicketing } from './create-ticketing';
import { openOperatorSide } from './open-operator-side';
import { lingerForTickets } from './linger-for-tickets';
import { createForwardedHandlers } from './serve-forwarded';

/** What an instance is made from. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly newRequestId: () => string;
  /** Version of this release, for operators. */
  readonly release: string;
  /** Takes decisions down for a later replay. */
  readonly record?: DecisionRecorder;
}

/** A running instance. */
export interface GatewayNode extends AsyncDisposable {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Port on which peers are listened to, whatever address they are told. */
  readonly peerPort: number;
  readonly operatorAddress: string;
  /** Tells all that this instance is leaving, and resolves when nothing is in flight. */
  drain(): Promise<void>;
  /** Requests in flight at servers. */
  inFlightRequests(): number;
  /** Requests open here, of callers and of peers. */
  openWork(): OpenWork;
  /** Other instances that may be given work. */
  knownPeerCount(): number;
  /** Whether callers can be served: a configuration is in force and no stop has begun. */
  isReady(): boolean;
  /** Version of the configuration in force here; 0 before the first. */
  configurationVersion(): number;
}

function addressOf(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Starts an instance: its listeners, its tasks and its watches. */
export async function startNode(options: NodeOptions): Promise<GatewayNode> {
  const { settings, clock, random, logger, newRequestId } = options;
  const { instanceId, region, failureDomain, listeners, advertised } = settings;
  const owned = createDisposableStore();
  const incarnation = clock.unixMs();

  const configuration = createConfigurationStore(logger, {
    lowestVersion: settings.platform.lowestConfigurationVersion,
  });
  const connections = owned.add(createPeerConnections(channelCredentials(settings.tls)));
  const metadata = secretMetadata(settings.peerSecret);
  const gossip = createGossipStore(instanceId, clock);
  const inFlight = createInFlight();
  const sender = owned.add(createServerSender());
  const metrics = createMetrics();
  let configurationState = () => NO_CONFIGURATION;
  let callerAddress = '';
  let peerAddress = '';
  const { serverListUrl } = settings.platform;

  const membership = owned.add(
    createMembership({
      clock,
      logger,
      random,
      gossip,
      incarnation,
      transport: createExchangeTransport({ clock, connections, metadata }),
      seedPeers: settings.seedPeers,
      describeSelf: () => ({
        instanceId,
        region,
        failureDomain,
        callerAddress,
        peerAddress,
        ...configurationState(),
        inFlightRequests: inFlight.totalRequests(),
      }),
    }),
  );

  const { configurationUrl, configurationKey, unconfirmedConfiguration } = settings.platform;
  const sync = owned.add(
    createConfigurationSync({
      clock,
      random,
      logger,
      store: configuration,
      membership,
      askPeer: createConfigurationAsker({ clock, connections, metadata }),
      service: createConfigurationService({ url: configurationUrl, key: configurationKey }),
      whenUnconfirmed: unconfirmedConfiguration,
    }),
  );
  configurationState = sync.configurationState;

  const { probe } = owned.add(createServerProber());
  const health = owned.add(
    createServerHealth({
      clock,
      random,
      logger,
      region,
      configuration,
      membership,
      gossip,
      probe,
    }),
  );

  const { callerLimits, poison, outliers } = createProtections(
    {
      clock,
      random,
      logger,
      gossip,
      configuration,
      membership,
      peerSecret: settings.peerSecret,
      record: options.record,
    },
    owned,
  );

  const pauses = owned.add(
    createPauseGuard({
      clock,
      logger,
      refresh: createPeerRefresh({ clock, membership, configuration }),
    }),
  );
  const check = (request: GatewayRequest) =>
    checkRequest({ clock, region, configuration }, request);
  const plainForwarder = createPeerForwarder({
    transport: createForwardTransport(clock, connections, metadata),
    nowMs: () => clock.monotonicMs(),
    instanceId,
    incarnation,
    incarnationOf: (id) =>
      membership.members().find((member) => member.instanceId === id)?.incarnation,
  });

  const forwarder = guardForwarder(plainForwarder, { pauses, check });

  const loadControl = owned.add(
    createLoadControl({ clock, random, logger, region, failureDomain, configuration }),
  );
  const spillover = createSpillover({
    options: () => currentResilience(configuration).spillover,
    weights: () => configuration.current()?.document.weights ?? weightsSchema.parse({}),
    random,
  });
  const draining = createDraining({ clock, logger, noticeMs: settings.drain.noticeMs });
  const servingDependencies: ServingDependencies = {
    clock,
    random,
    logger,
    instanceId,
    region,
    failureDomain,
    configuration,
    membership,
    gossip,
    availability: health,
    record: options.record,
    poison,
    outliers,
    loadControl,
    spillover,
    inFlight,
    sender: guardSender(observeSender(sender, health), { pauses, check, availability: health }),
    forwarder,
  };
  const servingAlways = createServing(servingDependencies);

  const serving = gateServing(servingAlways, draining);
  const { tickets, serveNonRepeatable } = createTicketing({
    settings,
    clock,
    logger,
    incarnation,
    configuration,
    membership,
    forwarder,
    // A ticket can be redeemed here alone, so its holder is served until the end.
    serving: countServing(servingAlways, draining),
  });

  const peerServer = owned.add(
    await openPeerServer({
      ...listeners.peers,
      credentials: serverCredentials(settings.tls),
      peerSecret: settings.peerSecret,
      handlers: {
        exchange: (message) => membership.receive(message),
        fetchConfiguration: (request) => sync.answer(request),
        ...createForwardedHandlers({
          clock,
          incarnation,
          configuration,
          serving,
          serveNonRepeatable,
        }),
      },
    }),
  );
  peerAddress = advertised.peers ?? addressOf(listeners.peers.host, peerServer.port);

  const edge = owned.add(
    await openHttpEdge({
      ...listeners.callers,
      region,
      clock,
      logger,
      configuration,
      membership,
      serving,
      callerLimits,
      tickets,
      serveNonRepeatable,
      limits: settings.limits,
      metrics,
      draining,
      newRequestId,
    }),
  );
  callerAddress = advertised.callers ?? addressOf(listeners.callers.host, edge.port);

  const isReady = () => sync.isSettled() && membership.self().status === 'alive';
  const operators = owned.add(
    await openOperatorSide({
      settings,
      release: options.release,
      configuration,
      membership,
      metrics,
      serving: servingDependencies,
      isReady,
    }),
  );

  membership.start();
  sync.start();
  health.start();
  pauses.start();
  owned.add(
    runEngineOrders({
      clock,
      logger,
      region,
      configuration,
      health,
      pauses,
      client: owned.add(createEngineClient()),
    }),
  );
  if (serverListUrl !== undefined) {
    owned.add(watchServerLists({ clock, logger, health, url: serverListUrl }));
  }
  const operatorAddress = addressOf(listeners.operators.host, operators.port);
  logger.event(NODE_EVENTS.started, {
    callerAddress,
    peerAddress,
    // What is advertised may be the address of a relay before this listener.
    peerListenAddress: addressOf(listeners.peers.host, peerServer.port),
    operatorAddress,
    incarnation,
  });

  return {
    callerAddress,
    peerAddress,
    peerPort: peerServer.port,
    operatorAddress,
    inFlightRequests: () => inFlight.totalRequests(),
    openWork: draining.openWork,
    knownPeerCount: () => membership.usablePeers().length,
    isReady,
    configurationVersion: () => configuration.current()?.version ?? 0,
    async drain() {
      logger.event(NODE_EVENTS.stopping, { inFlightRequests: inFlight.totalRequests() });
      membership.markLeaving();
      tickets.stopMinting();
      await draining.run();
      await edge.drain();
      await lingerForTickets({ clock, logger, tickets, lingerMs: settings.limits.ticketLingerMs });
      await peerServer.drain();
      logger.event(NODE_EVENTS.stopped);
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
