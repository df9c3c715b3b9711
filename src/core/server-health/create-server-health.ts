import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { BackendServer, CompiledConfiguration, ConfigurationStore } from '../configuration';
import type { Logger } from '../events';
import type { GossipBoard, GossipEntry } from '../gossip';
import type { MembershipView } from '../membership';
import { pickIndex } from '../random';
import type { RandomSource } from '../random';
import { isOnDuty } from './assign-checks';
import { chooseUsable, mayTellDown } from './choose-usable';
import { SERVER_HEALTH_EVENTS } from './events';
import { MARK_RENEWAL_MS, fromEntry, markKey, toStatement } from './marks';
import type { ServerProbe } from './probe-server';
import { createServerBook } from './server-book';
import type {
  CheckedServer,
  ListStatus,
  ServerObservation,
  ServerStanding,
  StandingCause,
} from './types';

/** Which backend servers may be given work, as routing sees it. */
export interface ServerAvailability {
  /** Those of `servers` that a new request may be offered to; one in its slow start is there now and then. */
  usable(servers: readonly BackendServer[]): readonly BackendServer[];
  /** Whether a server still takes new work; asked again for work that waited. */
  takesNewWork(serverId: string): boolean;
}

/** What health is built from. */
export interface ServerHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly region: string;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly gossip: GossipBoard;
  readonly probe: ServerProbe;
}

/** Health of the backend servers of this region, with its tasks. */
export interface ServerHealth extends ServerAvailability, AsyncDisposable {
  start(): void;
  /** Takes in what a request met at a server; a failure brings its next check forward. */
  noteRequest(serverId: string, observation: ServerObservation): void;
  noteList(serverId: string, status: ListStatus): void;
  /** Servers of this region. */
  servers(): readonly CheckedServer[];
  standing(serverId: string): ServerStanding;
  /** Calls back whenever a server's standing changes, for whoever holds work queued for it. */
  onChange(listener: (serverId: string, standing: ServerStanding) => void): Disposable;
  /** Whether this instance is one of the `count` (two) that do `duty` for the region. */
  isOnDuty(duty: string, count?: number): boolean;
}

/** How often it is looked which checks are due: a tenth of the time in which a leaving server must be out. */
const TICK_MS = 200;
/** A server in question is checked this many times as often, so that doubt is short whichever way it ends. */
const QUESTIONED_RATE = 4;
/** Time without any good check after which an instance says in its log that it doubts itself. */
const DOUBT_AFTER_MS = 2_000;

/** The servers of `region` as they are checked. */
function checkedServers(
  configuration: CompiledConfiguration,
  region: string,
): readonly CheckedServer[] {
  return configuration.document.backendServers
    .filter((server) => server.region === region)
    .flatMap((server) => {
      const service = configuration.serviceNamed(server.service);
      if (service === undefined) return [];
      const defaultPath = service.kind === 'model' ? '/health' : '/healthz';
      const rules = { ...service.health, path: service.health.path ?? defaultPath };
      return [{ serverId: server.id, address: server.address, service: server.service, rules }];
    });
}

function causeOf(standing: ServerStanding): StandingCause | undefined {
  return standing.kind === 'usable' ? undefined : standing.cause;
}

/** Health of the servers of one region as one instance knows it. */
export function createServerHealth(options: ServerHealthOptions): ServerHealth {
  const { clock, random, logger, region, configuration, membership, gossip, probe } = options;
  const stopping = new AbortController();
  const tasks = new Set<Promise<void>>();
  const listeners = new Set<(serverId: string, standing: ServerStanding) => void>();
  const nextCheckAtMs = new Map<string, number>();
  const checking = new Set<string>();
  const told = new Map<string, { kind: ServerStanding['kind']; atMs: number }>();
  const downSinceMs = new Map<string, number>();
  let lastGoodCheckAtMs: number | undefined;
  let doubting = false;
  let duty: { readonly liveIds: string; readonly servers: readonly CheckedServer[] } | undefined;

  const logChange = ({ serverId, address }: CheckedServer, standing: ServerStanding) => {
    const events = {
      usable: SERVER_HEALTH_EVENTS.serverUsable,
      draining: SERVER_HEALTH_EVENTS.serverDraining,
      down: SERVER_HEALTH_EVENTS.serverDown,
    } as const;
    logger.event(events[standing.kind], { server: serverId, address, cause: causeOf(standing) });
  };

  const book = createServerBook((server, standing) => {
    logChange(server, standing);
    for (const listener of listeners) listener(server.serverId, standing);
  });

  const livePeerIds = (): readonly string[] =>
    membership
      .usablePeers()
      .filter((peer) => peer.region === region)
      .map((peer) => peer.instanceId)
      .sort();

  const onDuty = (name: string, count?: number): boolean =>
    isOnDuty(name, membership.self().instanceId, livePeerIds(), count);

  /** Servers that this instance checks; worked out anew only when instances or servers have changed. */
  const dutyServers = (): readonly CheckedServer[] => {
    const peerIds = livePeerIds();
    const liveIds = peerIds.join(' ');
    if (duty?.liveIds === liveIds) return duty.servers;
    const selfId = membership.self().instanceId;
    const servers = book.servers().filter(({ serverId }) => isOnDuty(serverId, selfId, peerIds));
    duty = { liveIds, servers };
    return servers;
  };

  /** Whether the failure of a server is proven to be the server's; says so in the log when it long is not. */
  const isProven = (serverId: string): boolean => {
    const nowMs = clock.monotonicMs();
    const failedAtMs = downSinceMs.get(serverId) ?? nowMs;
    if (mayTellDown(failedAtMs, lastGoodCheckAtMs, dutyServers().length)) return true;
    if (!doubting && nowMs - failedAtMs >= DOUBT_AFTER_MS) {
      doubting = true;
      logger.event(SERVER_HEALTH_EVENTS.checksDoubted, { down: downSinceMs.size });
    }
    return false;
  };

  const tell = ({ serverId, address }: CheckedServer) => {
    const nowMs = clock.monotonicMs();
    const { standing, incarnation } = book.ownStanding(serverId, nowMs);
    const previous = told.get(serverId);
    const isNews = (previous?.kind ?? 'usable') !== standing.kind;
    const isRenewal =
      standing.kind !== 'usable' && nowMs - (previous?.atMs ?? 0) >= MARK_RENEWAL_MS;
    if (!isNews && !isRenewal) return;
    if (standing.kind === 'down' && !isProven(serverId)) return;
    told.set(serverId, { kind: standing.kind, atMs: nowMs });
    const key = markKey(serverId, address);
    gossip.put(toStatement(key, { kind: standing.kind, incarnation }, region, clock.unixMs()));
  };

  /** Brings the check of another server forward, whose good answer would show that this instance has a network. */
  const seekProof = (downServer: CheckedServer) => {
    const others = dutyServers().filter(
      (server) => server !== downServer && book.standing(server.serverId).kind === 'usable',
    );
    const other = others[pickIndex(random, others.length)];
    if (other !== undefined) nextCheckAtMs.set(other.serverId, clock.monotonicMs());
  };

  const noteCheck = (server: CheckedServer, observation: ServerObservation) => {
    const { serverId } = server;
    const nowMs = clock.monotonicMs();
    if (observation.kind !== 'failed') {
      lastGoodCheckAtMs = nowMs;
      doubting = false;
    }
    if (causeOf(book.ownStanding(serverId, nowMs).standing) !== 'checks') {
      downSinceMs.delete(serverId);
      return;
    }
    if (downSinceMs.has(serverId)) return;
    downSinceMs.set(serverId, nowMs);
    seekProof(server);
  };

  const observe = (server: CheckedServer, observation: ServerObservation) => {
    book.observe(server.serverId, observation, clock.monotonicMs());
    noteCheck(server, observation);
    tell(server);
  };

  const own = (task: Promise<void>) => {
    tasks.add(task);
    void task.finally(() => tasks.delete(task));
  };

  const check = async (server: CheckedServer): Promise<void> => {
    checking.add(server.serverId);
    const observation = await probe(server);
    checking.delete(server.serverId);
    if (!stopping.signal.aborted) observe(server, observation);
  };

  /** A server that is in question is checked by whoever questions it, on duty or not, and more often. */
  const startDueChecks = () => {
    const nowMs = clock.monotonicMs();
    const questioned = book.concerned().filter(({ serverId }) => book.isQuestioned(serverId));
    const toCheck = new Set([...dutyServers(), ...questioned]);
    const ids = new Set([...toCheck].map(({ serverId }) => serverId));
    for (const serverId of nextCheckAtMs.keys()) {
      if (!ids.has(serverId)) nextCheckAtMs.delete(serverId);
    }
    for (const server of toCheck) {
      const { serverId, rules } = server;
      // The first check falls at a random point, so that the checks of many servers do not come together.
      const dueAtMs = nextCheckAtMs.get(serverId) ?? nowMs + random.next() * rules.intervalMs;
      nextCheckAtMs.set(serverId, dueAtMs);
      if (dueAtMs > nowMs || checking.has(serverId)) continue;
      const intervalMs = book.isQuestioned(serverId)
        ? rules.intervalMs / QUESTIONED_RATE
        : rules.intervalMs;
      nextCheckAtMs.set(serverId, nowMs + intervalMs);
      own(check(server));
    }
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      book.refresh(clock.monotonicMs());
      startDueChecks();
      book.concerned().forEach(tell);
      await sleepUntil(clock, clock.monotonicMs() + TICK_MS, stopping.signal);
    }
  };

  const takeIn = (entry: GossipEntry) => {
    const server = book
      .servers()
      .find(({ serverId, address }) => markKey(serverId, address) === entry.key);
    if (server === undefined) return;
    const mark = fromEntry(entry);
    if (mark === undefined) {
      logger.event(SERVER_HEALTH_EVENTS.markRejected, { peer: entry.origin, key: entry.key });
      return;
    }
    const nowMs = clock.monotonicMs();
    const expiresAtMs = nowMs + entry.expiresAtUnixMs - clock.unixMs();
    book.noteMark(
      server.serverId,
      { ...mark, origin: entry.origin, receivedAtMs: nowMs, expiresAtMs },
      nowMs,
    );
  };

  const replaceServers = (next: CompiledConfiguration) => {
    book.replaceServers(checkedServers(next, region), clock.monotonicMs());
    duty = undefined;
    gossip.entries('serverMarks').forEach(takeIn);
  };

  const subscriptions = [
    configuration.onChange(replaceServers),
    gossip.onEntry('serverMarks', takeIn),
  ];
  const first = configuration.current();
  if (first !== undefined) replaceServers(first);

  return {
    start() {
      own(run());
    },
    usable(servers) {
      const nowMs = clock.monotonicMs();
      return chooseUsable(servers, (server) => book.share(server.id, nowMs), random);
    },
    takesNewWork: (serverId) => book.share(serverId, clock.monotonicMs()) > 0,
    noteRequest(serverId, observation) {
      const server = book.server(serverId);
      if (server === undefined) return;
      switch (observation.kind) {
        case 'healthy':
          book.noteAnswer(serverId, clock.monotonicMs());
          return;
        case 'draining':
          observe(server, observation);
          return;
        case 'failed':
          // One lost request proves little; a check by whoever met it, right away, proves more.
          if (!checking.has(serverId)) own(check(server));
          return;
        default:
          observation satisfies never;
      }
    },
    noteList(serverId, status) {
      book.noteList(serverId, status, clock.monotonicMs());
      const server = book.server(serverId);
      if (server !== undefined) tell(server);
    },
    servers: book.servers,
    standing: book.standing,
    onChange(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
    isOnDuty: onDuty,
    async [Symbol.asyncDispose]() {
      stopping.abort();
      subscriptions.forEach((subscription) => subscription[Symbol.dispose]());
      await Promise.all(tasks);
    },
  };
}
