import type { Clock } from '../clock';
import { sleepUntil } from '../clock';
import type { BackendServer, CompiledConfiguration, ConfigurationStore } from '../configuration';
import type { Logger } from '../events';
import type { Gossip, GossipEntry } from '../gossip';
import type { MembershipView } from '../membership';
import { pickIndex } from '../random';
import type { RandomSource } from '../random';
import { createCheckSchedule } from './check-schedule';
import { chooseUsable } from './choose-usable';
import { createDutyRoster } from './duty-roster';
import { SERVER_HEALTH_EVENTS } from './events';
import { createStatementPublisher } from './statement-publisher';
import { parseStatement, statementKey } from './server-statements';
import type { ServerProbe } from './probe-server';
import { createHealthTable } from './health-table';
import type { CheckedServer, ListStatus, ServerObservation, HealthState } from './types';

/** Availability of the backend servers, as used by routing. */
export interface ServerAvailability {
  /**
   * Returns those of `servers` that a new request may be sent to. A server in its slow start is included at random, in
   * proportion to its share.
   */
  usable(servers: readonly BackendServer[]): readonly BackendServer[];
  /** Whether a server may be sent new work. Work that was queued for it checks this again before it is sent. */
  takesNewWork(serverId: string): boolean;
  /**
   * Like `takesNewWork`, but for a server in its slow start true only at random, in proportion to its share. Used for
   * the preferred servers of a request.
   */
  isOffered(serverId: string): boolean;
}

/** Options of `createServerHealth`. */
export interface ServerHealthOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly region: string;
  readonly configuration: ConfigurationStore;
  readonly membership: MembershipView;
  readonly gossip: Gossip;
  readonly probe: ServerProbe;
}

/** Health of the backend servers of this region, and the background tasks that keep it up to date. */
export interface ServerHealth extends ServerAvailability, AsyncDisposable {
  start(): void;
  /** Records what a request observed at a server; a failure starts a check at once. */
  recordRequest(serverId: string, observation: ServerObservation): void;
  recordListStatus(serverId: string, status: ListStatus): void;
  /** Returns the servers of this region. */
  servers(): readonly CheckedServer[];
  healthState(serverId: string): HealthState;
  /** Calls `listener` whenever the health state of a server changes, for code that holds queued work for it. */
  onChange(listener: (serverId: string, healthState: HealthState) => void): Disposable;
  /** Whether this instance is one of the `count` (default two) that perform `duty` for the region. */
  isOnDuty(duty: string, count?: number): boolean;
}

/**
 * Interval at which due checks are started, ms: a tenth of the time within which a leaving server must stop getting
 * new work.
 */
const TICK_INTERVAL_MS = 200;

/** Returns the servers of `region` with the settings of their checks. */
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

const HEALTH_STATE_EVENTS = {
  usable: SERVER_HEALTH_EVENTS.serverUsable,
  draining: SERVER_HEALTH_EVENTS.serverDraining,
  down: SERVER_HEALTH_EVENTS.serverDown,
} as const;

function logChange(logger: Logger, server: CheckedServer, healthState: HealthState): void {
  logger.event(HEALTH_STATE_EVENTS[healthState.kind], {
    server: server.serverId,
    address: server.address,
    cause: healthState.kind === 'usable' ? undefined : healthState.cause,
  });
}

/** Creates the health tracking of the backend servers of one region by this instance. */
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

  /** Brings forward the check of another server: its success would prove that this instance has a network. */
  const bringForwardOtherCheck = (downServer: CheckedServer) => {
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
    if (publisher.recordCheck(server, observation)) bringForwardOtherCheck(server);
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

  /** Starts the due checks. An instance also checks servers that it suspects itself, even when not on duty for them. */
  const startDueChecks = () => {
    const suspects = table
      .serversNeedingAttention()
      .filter(({ serverId }) => table.isSuspect(serverId));
    const toCheck = new Set([...roster.servers(), ...suspects]);
    schedule.takeDue(toCheck, table.isSuspect, clock.monotonicMs()).forEach(startCheck);
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      table.refresh(clock.monotonicMs());
      startDueChecks();
      table.serversNeedingAttention().forEach(publisher.publish);
      await sleepUntil(clock, clock.monotonicMs() + TICK_INTERVAL_MS, stopping.signal);
    }
  };

  const receiveStatement = (entry: GossipEntry) => {
    const server = table
      .servers()
      .find(({ serverId, address }) => statementKey(serverId, address) === entry.key);
    if (server === undefined) return;
    const statement = parseStatement(entry);
    if (statement === undefined) {
      logger.event(SERVER_HEALTH_EVENTS.markRejected, { peer: entry.origin, key: entry.key });
      return;
    }
    const nowMs = clock.monotonicMs();
    const expiresAtMs = nowMs + entry.expiresAtUnixMs - clock.unixMs();
    const received = { ...statement, origin: entry.origin, receivedAtMs: nowMs, expiresAtMs };
    table.recordPeerStatement(server.serverId, received, nowMs);
  };

  const replaceServers = (next: CompiledConfiguration) => {
    table.replaceServers(checkedServers(next, region), clock.monotonicMs());
    roster.reset();
    // The board also holds this instance's own statements, which must not count as those of a peer.
    gossip
      .entries('serverMarks')
      .filter(({ origin }) => origin !== membership.self().instanceId)
      .forEach(receiveStatement);
  };

  const subscriptions = [
    configuration.onChange(replaceServers),
    gossip.onEntry('serverMarks', receiveStatement),
  ];
  const initialConfiguration = configuration.current();
  if (initialConfiguration !== undefined) replaceServers(initialConfiguration);

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
    recordRequest(serverId, observation) {
      const server = table.server(serverId);
      if (server === undefined) return;
      switch (observation.kind) {
        case 'healthy':
          table.recordAnswer(serverId, clock.monotonicMs());
          return;
        case 'draining':
          observe(server, observation);
          return;
        case 'failed':
          // One failed request is weak evidence; an immediate check by the same instance is stronger.
          startCheck(server);
          return;
        default:
          observation satisfies never;
      }
    },
    recordListStatus(serverId, status) {
      table.recordListStatus(serverId, status, clock.monotonicMs());
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
