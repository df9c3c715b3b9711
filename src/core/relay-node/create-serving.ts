import type { Clock } from '../clock';
import type { PoisonOptions } from '../configuration';
import type { Logger } from '../events';
import type { ConnectionPool } from '../exchanges';
import type { GossipBoard } from '../gossip';
import type { RouteTableStore } from '../host-routes';
import type { DisposableStore } from '../lifetime';
import { createLoadBoard, createLoadTeller, createReadNotes, readStatement } from '../load-sharing';
import type { Metrics } from '../metrics';
import { createCrashWatch, createRouter, createWarmCheck } from '../pass-through';
import type { HeaderDialect, ServeDependencies, ServedRequest } from '../pass-through';
import { createPoisonGuard, fingerprintKey } from '../poison';
import type { RandomSource } from '../random';
import type { ServerRegistry } from '../server-registry';
import { createColdGate, createRetryAllowance } from '../shared-budget';
import type { KnownInstances } from './known-instances';
import type { RelaySettings } from './settings';

/** What the serving of requests is put together from. */
export interface ServingOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly dialect: HeaderDialect;
  readonly settings: () => RelaySettings;
  readonly peerSecret: string;
  readonly routes: RouteTableStore;
  readonly servers: ServerRegistry;
  readonly pool: ConnectionPool;
  readonly gossip: GossipBoard;
  readonly metrics: Metrics;
  readonly instances: KnownInstances;
  /** Sends a statement of this instance's load to another one of its region. */
  readonly sendStatement: (address: string, text: string) => void;
  /** Monotonic time since which all that is published has been followed; undefined while it is not. */
  readonly followedSinceMs: () => number | undefined;
}

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

function countInto(metrics: Metrics) {
  return ({ plan, result, firstByteMs, totalMs, attempts }: ServedRequest): void => {
    // One that another instance sent here is counted there, with what this one tells of it.
    if (!plan.isForwarded) metrics.attempts(plan.route, attempts);
    if (result === 'answered') metrics.answered(plan.route, firstByteMs, totalMs);
    else if (result === 'brokenOff') metrics.cutShort(plan.route);
    else if (result === 'callerGone') metrics.callerGone(plan.route);
    else metrics.refused(result, plan.service);
  };
}

/** What serves requests, and what keeps it from growing. */
export interface Serving extends ServeDependencies {
  /** Forgets servers that have gone. */
  forgetGone(): void;
  /** Takes a statement of another instance's load. */
  takeStatement(text: string): void;
  /** Tells the others of this instance's load, if it is time. */
  tellLoad(): void;
}

/** Puts together what serves requests; `owned` releases what must be released. */
export function createServing(options: ServingOptions, owned: DisposableStore): Serving {
  const { clock, random, logger, dialect, routes, servers, pool, gossip, instances } = options;
  const { instanceId, region } = options.settings();
  const others = createLoadBoard();
  const read = createReadNotes();
  const router = createRouter({
    others,
    onRead: read.note,
    region,
    routes,
    servers,
    pool,
    coldGate: createColdGate({
      selfId: instanceId,
      startedAtMs: clock.monotonicMs(),
      instancesInRegion: instances.perhapsAliveInRegion,
    }),
    peers: instances.peers,
    instancesInRegion: instances.countInRegion,
    draw: () => random.next(),
  });
  const teller = createLoadTeller({
    selfId: instanceId,
    servers: router.loads.ownWork,
    read,
    addresses: () =>
      instances
        .peers()
        .filter((peer) => peer.region === region)
        .map((peer) => peer.forwardAddress),
    send: options.sendStatement,
  });
  const { followedSinceMs } = options;
  const warmCheck = createWarmCheck({ clock, dialect, pool, routes, servers, followedSinceMs });
  const guard = owned.add(
    createPoisonGuard({
      clock,
      logger,
      gossip,
      key: fingerprintKey(options.peerSecret),
      options: () => CRASH_OPTIONS,
    }),
  );
  const crashWatch = createCrashWatch({
    guard,
    check: warmCheck,
    regions: () => [...new Set(Object.values(options.settings().regionOfDomain))],
  });
  const retries = createRetryAllowance(() => options.settings().retryBudget, instances.count);
  return {
    clock,
    logger,
    dialect,
    pool,
    router,
    warmCheck,
    crashWatch,
    retries,
    onReplaced: servers.noteReplaced,
    onDone: countInto(options.metrics),
    onRefused: (reason, service) => options.metrics.refused(reason, service),
    takeStatement(text) {
      const statement = readStatement(text);
      if (statement === undefined) return;
      others.take(statement, clock.monotonicMs());
      router.noteReadForOthers(statement.read);
    },
    tellLoad() {
      const nowMs = clock.monotonicMs();
      others.dropOld(nowMs);
      teller.tell(nowMs);
    },
    forgetGone() {
      const known = new Set(servers.all().map((server) => server.incarnationId));
      router.keepOnly(known);
      warmCheck.keepOnly(known);
    },
  };
}
