import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import { chooseAddresses } from '../client-directory';
import type { CallerPlace } from '../client-directory';
import type { PoisonOptions } from '../configuration';
import type { Logger } from '../events';
import { createConnectionPool } from '../exchanges';
import { createGossipBoard } from '../gossip';
import { createRouteTableStore } from '../host-routes';
import { createPoisonGuard, fingerprintKey } from '../poison';
import { createDisposableStore } from '../lifetime';
import { createMembership } from '../membership';
import type { MemberState } from '../membership';
import { createMetrics } from '../metrics';
import type { Metrics } from '../metrics';
import {
  createCrashWatch,
  createReadyConnections,
  createRouter,
  createWarmCheck,
  openIngress,
} from '../pass-through';
import type { ForwardPeer, HeaderDialect, Ingress, ServedRequest } from '../pass-through';
import {
  channelCredentials,
  createExchangeTransport,
  createPeerConnections,
  openPeerServer,
  secretMetadata,
  serverCredentials,
} from '../peers';
import type { RandomSource } from '../random';
import { createServerRegistry } from '../server-registry';
import { createColdGate, createRetryAllowance } from '../shared-budget';
import { createStateSync, writeSnapshot } from '../state-sync';
import type { StateSource } from '../state-sync';
import { RELAY_NODE_EVENTS } from './events';
import { HERE_PATH, STATE_PATH, fetchPeerState } from './fetch-peer-state';
import { planStop } from './plan-stop';
import type { RelaySettings } from './settings';

/** What an instance is made from. */
export interface RelayNodeOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
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

/** Instances of one deployment trust the network between them; the platform hands out no secret. */
const PEER_SECRET = 'coltsfootworks-peers';
/**
 * When a request that crashes servers is refused, and for how long. A third crash rather than the second one, since a
 * whole domain may go down within the time in which a request that was cut off there is tried again at its neighbour.
 */
const CRASH_OPTIONS: PoisonOptions = {
  crashesToRefuse: 3,
  // As the product's own configuration has it: long enough for somebody to look, doubled with each further crash.
  refuseForMs: 900_000,
  refuseAtMostMs: 86_400_000,
};
/** Rest between two looks at whether a stop may end, ms. */
const STOP_LOOK_MS = 50;
/** Rest between two rounds of forgetting servers that have gone, ms. */
const FORGET_EVERY_MS = 5_000;
/** Rest between two looks at the connections to other regions: an instance that comes back is met within it, ms. */
const REFILL_EVERY_MS = 500;

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Starts an instance: its listeners, its membership and its copy of what is published. */
export async function startRelayNode(options: RelayNodeOptions): Promise<RelayNode> {
  const { clock, random, logger, dialect } = options;
  let { settings } = options;
  const { instanceId, region, failureDomain, listeners } = settings;
  const owned = createDisposableStore();
  const nowMs = () => clock.monotonicMs();

  const routes = createRouteTableStore();
  const servers = createServerRegistry({
    regionOf: (domain) => settings.regionOfDomain[domain],
    coldStartMs: (service) => routes.current()?.table.services.get(service)?.coldStartMs ?? 0,
  });
  const pool = owned.add(createConnectionPool(nowMs));
  const metrics = createMetrics();
  const gossip = createGossipBoard(instanceId, clock);
  const connections = owned.add(createPeerConnections(channelCredentials(undefined)));
  let stoppingSinceMs: number | undefined;
  let inFlight = () => 0;
  let callerAddress = '';
  let peerAddress = '';

  const membership = owned.add(
    createMembership({
      clock,
      random,
      logger,
      gossip,
      incarnation: clock.unixMs(),
      transport: createExchangeTransport({
        clock,
        connections,
        metadata: secretMetadata(PEER_SECRET),
      }),
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
        watching: true,
      }),
    }),
  );

  const forwardAddressOf = (member: MemberState): string =>
    `${hostOf(member.peerAddress)}:${settings.forwardingPort}`;
  const peers = (): readonly ForwardPeer[] =>
    membership
      .usablePeers()
      .filter((member) => member.configurationVersion > 0)
      .map((member) => ({
        instanceId: member.instanceId,
        region: member.region,
        forwardAddress: forwardAddressOf(member),
        inFlightRequests: member.inFlightRequests,
      }));
  const idsInRegion = (): readonly string[] => [
    instanceId,
    ...membership
      .usablePeers()
      .filter((member) => member.region === region)
      .map((member) => member.instanceId),
  ];

  const perhapsAliveInRegion = (): readonly string[] =>
    membership
      .members()
      .filter((member) => member.region === region)
      .filter((member) => member.status === 'alive' || member.status === 'suspect')
      .map((member) => member.instanceId);

  const retries = createRetryAllowance(
    () => settings.retryBudget,
    () => membership.usablePeers().length + 1,
  );
  const router = createRouter({
    region,
    routes,
    servers,
    pool,
    coldGate: createColdGate({
      selfId: instanceId,
      startedAtMs: nowMs(),
      instancesInRegion: perhapsAliveInRegion,
    }),
    peers,
    instancesInRegion: () => idsInRegion().length,
    draw: () => random.next(),
  });
  inFlight = () => router.loads.totalInFlight();

  const sync = owned.add(
    createStateSync({
      clock,
      random,
      logger,
      source: options.source,
      routes,
      servers,
      async askPeer(signal) {
        const others = peers();
        const peer = others[Math.floor(random.next() * others.length)];
        return peer === undefined
          ? undefined
          : fetchPeerState({ clock, logger }, peer.forwardAddress, signal);
      },
    }),
  );

  const noteDone = ({ plan, result, firstByteMs, totalMs }: ServedRequest): void => {
    if (result === 'answered') metrics.answered(plan.route, firstByteMs, totalMs);
    else if (result === 'brokenOff') metrics.cutShort(plan.route);
    else if (result === 'callerGone') metrics.callerGone(plan.route);
    else metrics.refused(result, plan.service);
  };
  const warmCheck = createWarmCheck({
    clock,
    dialect,
    pool,
    routes,
    servers,
    followedSinceMs: sync.followedSinceMs,
  });
  const guard = owned.add(
    createPoisonGuard({
      clock,
      logger,
      gossip,
      key: fingerprintKey(PEER_SECRET),
      options: () => CRASH_OPTIONS,
    }),
  );
  const serving = {
    clock,
    logger,
    dialect,
    pool,
    router,
    warmCheck,
    crashWatch: createCrashWatch({
      guard,
      check: warmCheck,
      regions: () => [...new Set(Object.values(settings.regionOfDomain))],
    }),
    retries,
    onReplaced: servers.noteReplaced,
    onDone: noteDone,
  };
  const listenersOpen: Ingress[] = [];
  const openRequests = () =>
    listenersOpen.reduce((sum, listener) => sum + listener.openRequests(), 0);
  const sinceSignalMs = () => nowMs() - (stoppingSinceMs ?? nowMs());
  const isLeaving = () => stoppingSinceMs !== undefined;
  const stopStep = () =>
    planStop({
      sinceSignalMs: sinceSignalMs(),
      stopWithinMs: settings.stopWithinMs,
      openRequests: openRequests(),
    });
  const shared = {
    clock,
    random,
    logger,
    routes,
    retries,
    serving,
    isLeaving,
    isRefusing: () => isLeaving() && stopStep() !== 'serve',
  };

  const peerServer = owned.add(
    await openPeerServer({
      ...listeners.peers,
      credentials: serverCredentials(undefined),
      peerSecret: PEER_SECRET,
      handlers: { exchange: (message) => membership.receive(message) },
    }),
  );
  peerAddress = `${listeners.peers.host}:${peerServer.port}`;
  const forwarding = owned.add(
    await openIngress({
      ...shared,
      ...listeners.forwarding,
      from: 'peers',
      documents: new Map([
        [STATE_PATH, () => writeSnapshot(sync.snapshot())],
        [HERE_PATH, () => '{}'],
      ]),
    }),
  );
  const ingress = owned.add(
    await openIngress({ ...shared, ...listeners.callers, from: 'callers' }),
  );
  callerAddress = `${listeners.callers.host}:${ingress.port}`;
  listenersOpen.push(ingress, forwarding);

  const upkeep = new AbortController();
  owned.defer(() => upkeep.abort());
  const runUpkeep = async (): Promise<void> => {
    while (!upkeep.signal.aborted) {
      router.forgetGone();
      ingress.applyLimits();
      await sleepUntil(clock, nowMs() + FORGET_EVERY_MS, upkeep.signal);
    }
  };

  const readyConnections = createReadyConnections({
    selfId: instanceId,
    region,
    pool,
    peers,
    path: HERE_PATH,
  });
  const keepConnectionsReady = async (): Promise<void> => {
    while (!upkeep.signal.aborted) {
      readyConnections.refill();
      await sleepUntil(clock, nowMs() + REFILL_EVERY_MS, upkeep.signal);
    }
  };

  membership.start();
  sync.start();
  void runUpkeep();
  void keepConnectionsReady();
  logger.event(RELAY_NODE_EVENTS.started, {
    callerAddress,
    peerAddress,
    seeds: settings.seedPeers,
  });

  const isReady = () => routes.current() !== undefined && !isLeaving();
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
      stoppingSinceMs = nowMs();
      membership.markLeaving();
      logger.event(RELAY_NODE_EVENTS.stopping, { openRequests: openRequests() });
      while (stopStep() !== 'exit') await sleepUntil(clock, nowMs() + STOP_LOOK_MS);
      logger.event(RELAY_NODE_EVENTS.stopped, { openRequests: openRequests() });
    },
    apply(changed) {
      settings = changed;
      logger.event(RELAY_NODE_EVENTS.settingsChanged, { seeds: changed.seedPeers });
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
