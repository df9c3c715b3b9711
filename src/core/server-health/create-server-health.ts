import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { BackendServer, CompiledConfiguration, ConfigurationStore } from '../configuration';
import type { Logger } from '../events';
import type { GossipBoard, GossipEntry } from '../gossip';
import type { MembershipView } from '../membership';
import { pickIndex } from '../random';
import type { RandomSource } from '../random';
import { createCheckSchedule } from './check-schedule';
import { chooseUsable } from './choose-usable';
import { createDutyRoster } from './duty-roster';
import { SERVER_HEALTH_EVENTS } from './events';
import { createStatementPublisher } from './statement-publisher';
import { fromEntry, markKey } from './marks';
import type { ServerProbe } from './probe-server';
import { createHealthTable } from './health-table';
import type { CheckedServer, ListStatus, ServerObservation, HealthState } from './types';

/** Which backend servers may be given work, as routing sees it. */
export interface ServerAvailability {
  /** Those of `servers` that a new request may be offered to; one in its slow start is there now and then. */
  usable(servers: readonly BackendServer[]): readonly BackendServer[];
  /** Whether a server still takes new work; asked again for work that waited. */
  takesNewWork(serverId: string): boolean;
  /** As `takesNewWork`, but true only now and then for a server in its slow start: for a first choice. */
  isOffered(serverId: string): boolean;
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
  healthState(serverId: string): HealthState;
  /** Calls back whenever a server's health state changes, for whoever holds work queued for it. */
  onChange(listener: (serverId: string, healthState: HealthState) => void): Disposable;
  /** Whether this instance is one of the `count` (two) that do `duty` for the region. */
  isOnDuty(duty: string, count?: number): boolean;
}

/** How often it is looked which checks are due: a tenth of the time in which a leaving server must be out. */
const TICK_MS = 200;

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

const STANDING_EVENTS = {
  usable: SERVER_HEALTH_EVENTS.serverUsable,
  draining: SERVER_HEALTH_EVENTS.serverDraining,
  down: SERVER_HEALTH_EVENTS.serverDown,
} as const;

function logChange(logger: Logger, server: CheckedServer, healthState: HealthState): void {
  logger.event(STANDING_EVENTS[healthState.kind], {
    server: server.serverId,
    address: server.address,
    cause: healthState.kind === 'usable' ? undefined : healthState.cause,
  });
}

/** Health of the servers of one region as one instance knows it. */
export function createServerHealth(options: ServerHealthOptions): ServerHealth {
  const { clock, random, logger, region, configuration, membership, gossip, probe } = options;
  const stopping = new AbortController();
  const tasks = new Set<Promise<void>>();
  const listeners = new Set<(serverId: string, healthState: HealthState) => void>();
  const checking = new Set<string>();
  const schedule = createCheckSchedule(random);

  const table = createHealthTable((server, healthState) => {
    logChange(logger, server, healthState);
    for (const listener of listeners) listener(server.serverId, healthState);
  });
  const roster = createDutyRoster(membership, region, table.servers);
  const publisher = createStatementPublisher({
    clock,
    logger,
    gossip,
    region,
    table,
    checkedCount: () => roster.servers().length,
  });

  /** Brings the check of another server forward, whose good answer would show that this instance has a network. */
  const seekProof = (downServer: CheckedServer) => {
    const others = roster
      .servers()
      .filter(
        (server) => server !== downServer && table.healthState(server.serverId).kind === 'usable',
      );
    const other = others[pickIndex(random, others.length)];
    if (other !== undefined) schedule.bringForward(other.serverId, clock.monotonicMs());
  };

  const observe = (server: CheckedServer, observation: ServerObservation) => {
    table.observe(server.serverId, observation, clock.monotonicMs());
    if (publisher.noteCheck(server, observation)) seekProof(server);
    publisher.publish(server);
  };

  const check = async (server: CheckedServer): Promise<void> => {
    checking.add(server.serverId);
    const observation = await probe(server);
    checking.delete(server.serverId);
    if (!stopping.signal.aborted) observe(server, observation);
  };

  const startCheck = (server: CheckedServer) => {
    if (checking.has(server.serverId)) return;
    const task = check(server);
    tasks.add(task);
    void task.finally(() => tasks.delete(task));
  };

  /** A server that is in question is checked by whoever questions it, on duty or not. */
  const startDueChecks = () => {
    const questioned = table.concerned().filter(({ serverId }) => table.isQuestioned(serverId));
    const toCheck = new Set([...roster.servers(), ...questioned]);
    schedule.takeDue(toCheck, table.isQuestioned, clock.monotonicMs()).forEach(startCheck);
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      table.refresh(clock.monotonicMs());
      startDueChecks();
      table.concerned().forEach(publisher.publish);
      await sleepUntil(clock, clock.monotonicMs() + TICK_MS, stopping.signal);
    }
  };

  const takeIn = (entry: GossipEntry) => {
    const server = table
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
    const received = { ...mark, origin: entry.origin, receivedAtMs: nowMs, expiresAtMs };
    table.noteMark(server.serverId, received, nowMs);
  };

  const replaceServers = (next: CompiledConfiguration) => {
    table.replaceServers(checkedServers(next, region), clock.monotonicMs());
    roster.reset();
    // The board holds this instance's own statements too; what it knows itself needs no statement.
    gossip
      .entries('serverMarks')
      .filter(({ origin }) => origin !== membership.self().instanceId)
      .forEach(takeIn);
  };

  const subscriptions = [
    configuration.onChange(replaceServers),
    gossip.onEntry('serverMarks', takeIn),
  ];
  const first = configuration.current();
  if (first !== undefined) replaceServers(first);

  const shareOf = (serverId: string) => table.share(serverId, clock.monotonicMs());

  return {
    start() {
      tasks.add(run());
    },
    usable: (servers) => chooseUsable(servers, ({ id }) => shareOf(id), random),
    takesNewWork: (serverId) => shareOf(serverId) > 0,
    isOffered(serverId) {
      const share = shareOf(serverId);
      return share >= 1 || random.next() < share;
    },
    noteRequest(serverId, observation) {
      const server = table.server(serverId);
      if (server === undefined) return;
      switch (observation.kind) {
        case 'healthy':
          table.noteAnswer(serverId, clock.monotonicMs());
          return;
        case 'draining':
          observe(server, observation);
          return;
        case 'failed':
          // One lost request proves little; a check by whoever met it, right away, proves more.
          startCheck(server);
          return;
        default:
          observation satisfies never;
      }
    },
    noteList(serverId, status) {
      table.noteList(serverId, status, clock.monotonicMs());
      const server = table.server(serverId);
      if (server !== undefined) publisher.publish(server);
    },
    servers: table.servers,
    healthState: table.healthState,
    onChange(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
    isOnDuty: roster.isOnDuty,
    async [Symbol.asyncDispose]() {
      stopping.abort();
      subscriptions.forEach((subscription) => subscription[Symbol.dispose]());
      await Promise.all(tasks);
    },
  };
}
