import { configurationSchema, createConfigurationStore } from '../core/configuration';
import type { ConfigurationStore } from '../core/configuration';
import { createGossipStore } from '../core/gossip';
import type { GossipStore } from '../core/gossip';
import type { MemberState, MembershipView } from '../core/membership';
import { createSeededRandom, pickIndex } from '../core/random';
import { createServerHealth } from '../core/server-health';
import type { ServerHealth, ServerObservation } from '../core/server-health';
import { createFakeClock } from './fake-clock';
import type { FakeClock } from './fake-clock';
import { createMemoryLogger } from './memory-logger';
import type { MemoryLogger } from './memory-logger';

/** Instances of one region with server health on a fake clock; their boards exchange with one peer in turn. */

/** Time between two exchanges of one instance, ms. */
const EXCHANGE_MS = 250;
const REGION = 'rundu';

/** Size of the region and seed of its chance. */
export interface ServerRegionOptions {
  readonly seed: number;
  readonly instanceCount: number;
  readonly serverCount: number;
}

/** One instance of the region. */
export interface RegionInstance {
  readonly health: ServerHealth;
  readonly gossip: GossipStore;
  readonly logger: MemoryLogger;
  readonly configuration: ConfigurationStore;
}

/** The region, with what its servers answer. */
export interface ServerRegion {
  readonly clock: FakeClock;
  /** What a server answers to checks; healthy unless set. */
  readonly answers: Map<string, ServerObservation['kind']>;
  /** Indexes of instances that reach no server. */
  readonly cutOff: Set<number>;
  readonly instances: readonly RegionInstance[];
  /** How many instances give a server new work. */
  usersOf(serverId: string): number;
  probeCount(): number;
  /** Brings a version with the same servers into force everywhere. */
  publish(version: number): void;
  /** Statements taken in by all instances together, expired and repeated ones included. */
  statementCount(): number;
}

/** The id of the server with this index. */
export const serverIdAt = (index: number) => `engine-${index}`;

function describeConfiguration(serverCount: number, version: number): string {
  const document = configurationSchema.parse({
    version,
    deployment: 'omaruru',
    regions: [{ name: REGION, failureDomains: ['rundu-a'] }],
    services: [{ kind: 'model', name: 'kit-assistant', regions: [REGION], models: ['kit-large'] }],
    backendServers: Array.from({ length: serverCount }, (_unused, index) => ({
      id: serverIdAt(index),
      service: 'kit-assistant',
      region: REGION,
      failureDomain: 'rundu-a',
      address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`,
    })),
    callers: [],
  });
  return JSON.stringify(document);
}

function memberAt(index: number): MemberState {
  return {
    instanceId: `instance-${index}`,
    incarnation: 1,
    sequence: 1,
    region: REGION,
    failureDomain: 'rundu-a',
    callerAddress: '',
    peerAddress: '',
    status: 'alive',
    configurationVersion: 1,
    inFlightRequests: 0,
  };
}

/** Starts the region; its time moves with `clock`. */
export function startServerRegion(options: ServerRegionOptions): ServerRegion {
  const { seed, instanceCount, serverCount } = options;
  const clock = createFakeClock();
  const random = createSeededRandom(seed);
  const answers = new Map<string, ServerObservation['kind']>();
  const cutOff = new Set<number>();
  const members = Array.from({ length: instanceCount }, (_unused, index) => memberAt(index));
  let probes = 0;
  let statements = 0;

  const answerOf = (index: number, serverId: string): ServerObservation => {
    const kind = cutOff.has(index) ? 'failed' : (answers.get(serverId) ?? 'healthy');
    if (kind === 'failed') return { kind, reason: 'connection refused' };
    return { kind, incarnation: undefined };
  };

  const startInstance = (self: MemberState, index: number): RegionInstance => {
    const logger = createMemoryLogger();
    const configuration = createConfigurationStore(logger);
    configuration.offer(describeConfiguration(serverCount, 1), 'test');
    const membership: MembershipView = {
      self: () => self,
      members: () => members,
      usablePeers: () => members.filter((other) => other !== self),
    };
    const gossip = createGossipStore(self.instanceId, clock);
    const health = createServerHealth({
      clock,
      random,
      logger,
      region: REGION,
      configuration,
      membership,
      gossip,
      async probe({ serverId }) {
        probes += 1;
        return answerOf(index, serverId);
      },
    });
    health.start();
    return { health, gossip, logger, configuration };
  };

  const instances = members.map(startInstance);

  const exchangeWithOne = ({ gossip }: RegionInstance, index: number) => {
    const step = 1 + pickIndex(random, instanceCount - 1);
    const other = instances[(index + step) % instanceCount];
    if (other === undefined) return;
    const mine = gossip.entries('serverMarks');
    const theirs = other.gossip.entries('serverMarks');
    statements += mine.length + theirs.length;
    other.gossip.receive(mine);
    gossip.receive(theirs);
  };

  const exchangeAll = () => {
    instances.forEach(exchangeWithOne);
    clock.schedule(clock.monotonicMs() + EXCHANGE_MS, exchangeAll);
  };
  clock.schedule(EXCHANGE_MS, exchangeAll);

  return {
    clock,
    answers,
    cutOff,
    instances,
    usersOf: (id) => instances.filter(({ health }) => health.takesNewWork(id)).length,
    probeCount: () => probes,
    publish(version) {
      const text = describeConfiguration(serverCount, version);
      instances.forEach(({ configuration }) => configuration.offer(text, 'test'));
    },
    statementCount: () => statements,
  };
}
