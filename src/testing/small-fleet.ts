import { randomUUID } from 'node:crypto';
import { keyDigest } from '../core/access';
import { configurationSchema, resilienceSchema } from '../core/configuration';
import type { Configuration } from '../core/configuration';
import type { DecisionRecorder } from '../core/decision-trace';
import { createDisposableStore } from '../core/lifetime';
import { startNode } from '../core/node';
import type { GatewayNode } from '../core/node';
import { settingsSchema } from '../core/settings';
import { createSeededRandom } from '../core/random';
import { createSystemClock } from '../runtime/system-clock';
import { openEngineStandIn } from '../../standins/engine';
import type { EngineStandIn } from '../../standins/engine';
import { openPlainStandIn } from '../../standins/plain-service';
import type { PlainStandIn } from '../../standins/plain-service';
import { openPlatformStandIn } from '../../standins/platform';
import type { PlatformStandIn } from '../../standins/platform';
import { createMemoryLogger } from './memory-logger';
import type { MemoryLogger } from './memory-logger';
import { createShiftableClock } from './shiftable-clock';
import type { ShiftableClock } from './shiftable-clock';
import { waitFor } from './wait-for';

/** Three regions with two instances each on loopback, in one process, before stand-ins. */

/** The regions of the small fleet; only the first two have engines, only the first has orders. */
export const FLEET_REGIONS = ['windhoek', 'walvis-bay', 'rundu'] as const;
type Region = (typeof FLEET_REGIONS)[number];

/** Keys of the fleet's callers; `home-only` may be nowhere but in Rundu. */
export const FLEET_KEYS = {
  everywhere: 'key-of-everywhere',
  homeOnly: 'key-of-home-only',
} as const;

const PEER_SECRET = 'a-secret-shared-by-all-instances';
/** Longer than an exchange between instances takes, so that all hear of a stop. */
const NOTICE_MS = 1_200;
/** Key of the operators’ listeners of the fleet. */
export const FLEET_OPERATOR_KEY = 'a-key-for-operators-alone';
const CONFIGURATION_KEY = 'coltsfootworks/configuration';

/** One instance of the fleet. */
export interface FleetInstance {
  readonly instanceId: string;
  readonly region: Region;
  /** Last part of the failure domain's name. */
  readonly domain: string;
  readonly node: GatewayNode;
  readonly logger: MemoryLogger;
  /** Its clock; a jump makes it find that it stood still. */
  readonly clock: ShiftableClock;
}

/** The fleet and what stands around it. */
export interface SmallFleet extends AsyncDisposable {
  readonly platform: PlatformStandIn;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly orders: PlainStandIn;
  readonly instances: readonly FleetInstance[];
  /** The configuration that was published first. */
  readonly configuration: Configuration;
  publish(configuration: Configuration): void;
  /** Stops an instance as planned, and starts another in its place with the same name. */
  replace(instance: FleetInstance): Promise<FleetInstance>;
  /** The first instance of a region. */
  instanceIn(region: Region): FleetInstance;
}

function describeConfiguration(
  engines: ReadonlyMap<string, EngineStandIn>,
  orders: PlainStandIn,
): Configuration {
  const regions = FLEET_REGIONS.map((name) => ({
    name,
    failureDomains: [`${name}-a`, `${name}-b`],
  }));
  const callers = [
    { id: 'everywhere', keySha256: keyDigest(FLEET_KEYS.everywhere), regions: [...FLEET_REGIONS] },
    { id: 'home-only', keySha256: keyDigest(FLEET_KEYS.homeOnly), regions: ['rundu'] },
  ];
  const limits = { requestsPerSecond: 1_000, burstRequests: 1_000 };
  return configurationSchema.parse({
    version: 1,
    deployment: 'omaruru',
    weights: { tailLatency: 1, remoteShare: 0.3, cost: 0.2 },
    resilience: resilienceSchema.parse({}),
    regions,
    services: [
      {
        kind: 'model',
        name: 'kit-assistant',
        regions: [...FLEET_REGIONS],
        priority: 'interactive',
        deadlineMs: 20_000,
        longestDeadlineMs: 60_000,
        silenceTimeoutMs: 2_000,
        echoesRequestId: false,
        models: ['kit-large'],
        maxOutputTokens: 4096,
        resumption: 'continueFinalMessage',
      },
      {
        kind: 'plain',
        name: 'orders',
        regions: [...FLEET_REGIONS],
        priority: 'interactive',
        deadlineMs: 20_000,
        longestDeadlineMs: 60_000,
        silenceTimeoutMs: 2_000,
        echoesRequestId: false,
        nonRepeatable: [{ method: 'POST', pathPrefix: '/place' }],
        notRunStatuses: [429],
        ticketValidMs: 60_000,
      },
    ],
    backendServers: [
      ...[...engines].map(([id, engine]) => ({
        id,
        service: 'kit-assistant',
        region: id.replace('engine-', ''),
        failureDomain: `${id.replace('engine-', '')}-a`,
        address: engine.address,
        refusesOldFencing: false,
      })),
      {
        id: 'orders-1',
        service: 'orders',
        region: 'windhoek',
        failureDomain: 'windhoek-a',
        address: orders.address,
        refusesOldFencing: false,
      },
    ],
    callers: callers.map((caller) => ({ ...caller, limits })),
  });
}

/** What a test may set. */
export interface SmallFleetOptions {
  /** Takes down the decisions of the instance with this id. */
  readonly recordOf?: (instanceId: string) => DecisionRecorder;
  /** Time for which a stop is told before new requests are refused. */
  readonly noticeMs?: number;
  /** Address that an instance tells its peers, where they are to reach it by another way. */
  readonly peersReach?: (instanceId: string) => string | undefined;
  /** Told of each instance as soon as it listens. */
  readonly onStart?: (instance: FleetInstance) => void;
}

/** Starts the fleet and waits until each instance knows all others. */
export async function startSmallFleet(options: SmallFleetOptions = {}): Promise<SmallFleet> {
  const owned = createDisposableStore();
  const platform = owned.add(await openPlatformStandIn());
  const engines = new Map<string, EngineStandIn>();
  for (const region of FLEET_REGIONS.slice(0, 2)) {
    engines.set(`engine-${region}`, owned.add(await openEngineStandIn()));
  }
  const orders = owned.add(await openPlainStandIn());
  const configuration = describeConfiguration(engines, orders);
  const publish = (next: Configuration) =>
    platform.publish(CONFIGURATION_KEY, JSON.stringify(next));
  publish(configuration);

  const instances: FleetInstance[] = [];
  let startCount = 0;
  const startInstance = async (region: Region, domain: string): Promise<FleetInstance> => {
    const instanceId = `${region}-${domain}`;
    const logger = createMemoryLogger();
    const clock = createShiftableClock(createSystemClock());
    const settings = settingsSchema.parse({
      instanceId,
      region,
      failureDomain: `${region}-${domain}`,
      listeners: {
        callers: { host: '127.0.0.1', port: 0 },
        peers: { host: '127.0.0.1', port: 0 },
        operators: { host: '127.0.0.1', port: 0 },
      },
      seedPeers: instances.map(({ node }) => node.peerAddress),
      peerSecret: PEER_SECRET,
      operatorKey: FLEET_OPERATOR_KEY,
      platform: { configurationUrl: `http://${platform.address}` },
      advertised: { peers: options.peersReach?.(instanceId) },
      drain: { noticeMs: options.noticeMs ?? NOTICE_MS },
    });
    const node = owned.add(
      await startNode({
        settings,
        logger,
        clock,
        random: createSeededRandom(startCount),
        newRequestId: randomUUID,
        release: 'test',
        ...(options.recordOf === undefined ? {} : { record: options.recordOf(instanceId) }),
      }),
    );
    startCount += 1;
    const instance = { instanceId, region, domain, node, logger, clock };
    options.onStart?.(instance);
    return instance;
  };
  for (const region of FLEET_REGIONS) {
    for (const domain of ['a', 'b']) instances.push(await startInstance(region, domain));
  }

  await waitFor(
    () =>
      instances.every(
        ({ node }) => node.knownPeerCount() === instances.length - 1 && node.isReady(),
      ),
    'every instance to know all others',
  );

  return {
    platform,
    engines,
    orders,
    instances,
    configuration,
    publish,
    async replace(old) {
      await old.node.drain();
      await old.node[Symbol.asyncDispose]();
      const at = instances.indexOf(old);
      instances.splice(at, 1);
      const next = await startInstance(old.region, old.domain);
      instances.splice(at, 0, next);
      return next;
    },
    instanceIn(region) {
      const found = instances.find((instance) => instance.region === region);
      if (found === undefined) throw new Error(`No instance in ${region}`);
      return found;
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
