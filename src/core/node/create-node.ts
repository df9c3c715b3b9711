import { createInFlight, createServerSender } from '../backends';
import type { Clock } from '../clock';
import { createConfigurationStore } from '../configuration';
import type { Logger } from '../events';
import { createGossipBoard } from '../gossip';
import { openHttpEdge } from '../http-edge';
import { createDisposableStore } from '../lifetime';
import { createMembership } from '../membership';
import {
  channelCredentials,
  createExchangeTransport,
  createPeerConnections,
  createPeerForwarder,
  openPeerServer,
  secretMetadata,
  serverCredentials,
} from '../peers';
import type { RandomSource } from '../random';
import { watchConfiguration } from '../platform';
import { createServing } from '../serving';
import type { Settings } from '../settings';
import { NODE_EVENTS } from './events';
import { toGatewayRequest } from './serve-forwarded';

/** What an instance is made from. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly newRequestId: () => string;
}

/** A running instance. */
export interface GatewayNode extends AsyncDisposable {
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Tells all that this instance is leaving, and resolves when nothing is in flight. */
  drain(): Promise<void>;
  /** Requests in flight at servers. */
  inFlightRequests(): number;
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

  const configuration = createConfigurationStore(logger);
  const connections = owned.add(createPeerConnections(channelCredentials(settings.tls)));
  const metadata = secretMetadata(settings.peerSecret);
  const gossip = createGossipBoard(instanceId, clock);
  const inFlight = createInFlight();
  const sender = owned.add(createServerSender());
  const forwarder = createPeerForwarder({ clock, connections, metadata, instanceId });
  let callerAddress = '';
  let peerAddress = '';

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
        configurationVersion: configuration.current()?.version ?? 0,
        configurationDigest: 0,
        configurationSinceUnixMs: 0,
        configurationConfirmed: false,
        watching: false,
        inFlightRequests: inFlight.totalRequests(),
      }),
    }),
  );

  const serving = createServing({
    clock,
    random,
    logger,
    instanceId,
    region,
    failureDomain,
    configuration,
    membership,
    gossip,
    inFlight,
    sender,
    forwarder,
  });

  const peerServer = owned.add(
    await openPeerServer({
      ...listeners.peers,
      credentials: serverCredentials(settings.tls),
      peerSecret: settings.peerSecret,
      handlers: {
        exchange: (message) => membership.receive(message),
        serveForwarded: (message, sink, signal) =>
          serving.serve(toGatewayRequest(message, configuration, clock), sink, signal),
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
      limits: settings.limits,
      newRequestId,
    }),
  );
  callerAddress = advertised.callers ?? addressOf(listeners.callers.host, edge.port);

  const { configurationUrl: url, configurationKey: key } = settings.platform;
  owned.add(watchConfiguration({ clock, logger, store: configuration, url, key }));
  membership.start();
  logger.event(NODE_EVENTS.started, { callerAddress, peerAddress, incarnation });

  return {
    callerAddress,
    peerAddress,
    inFlightRequests: () => inFlight.totalRequests(),
    knownPeerCount: () => membership.usablePeers().length,
    isReady: () => configuration.current() !== undefined && membership.self().status === 'alive',
    configurationVersion: () => configuration.current()?.version ?? 0,
    async drain() {
      logger.event(NODE_EVENTS.stopping, { inFlightRequests: inFlight.totalRequests() });
      membership.markLeaving();
      await edge.drain();
      logger.event(NODE_EVENTS.stopped);
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
