import { configurationSchema, createConfigurationStore } from '../core/configuration';
import type { Configuration } from '../core/configuration';
import { sleepUntil } from '../core/clock';
import { runEngineOrders } from '../core/engine-orders';
import type { EngineClient } from '../core/engine-orders';
import { createDisposableStore } from '../core/lifetime';
import { createPauseGuard } from '../core/pauses';
import type { HealthState } from '../core/server-health';
import { createEngineModels } from '../../standins/engine-orders';
import type { EngineModels } from '../../standins/engine-orders';
import { createWeightStore } from '../../standins/weight-store';
import type { WeightStore } from '../../standins/weight-store';
import { createFakeClock } from './fake-clock';
import type { FakeClock } from './fake-clock';
import { createMemoryLogger } from './memory-logger';
import type { MemoryLogger } from './memory-logger';
import { createPausableClock } from './pausable-clock';
import type { PausableClock } from './pausable-clock';

/** Engines of one region on a fake clock, with instances that give them orders over a virtual network. */

const REGION = 'rundu';
const SERVICE = 'kit-assistant';
const LATENCY_MS = 5;
const TIMEOUT_MS = 2_000;
const REFRESH_MS = 50;

/** What is asked for of a name. */
export interface WantedName {
  readonly name: string;
  readonly version: string;
  readonly engines: number;
}

/** Size and temper of the region. */
export interface EngineRegionOptions {
  readonly engineCount: number;
  readonly senderCount: number;
  readonly fencing: 'refuses' | 'ignores';
  readonly slots: number;
  readonly loadMs: number;
  readonly loadsPerMinute: number;
}

/** One instance that may give orders. */
export interface SenderInstance {
  readonly clock: PausableClock;
  readonly logger: MemoryLogger;
  /** Engines that it can't reach. */
  readonly cut: Set<string>;
  /** Whether it believes that the orders are its duty. */
  isSender: boolean;
  /** Offers it a configuration. */
  configure(configuration: Configuration): void;
}

/** The region. */
export interface EngineRegion extends AsyncDisposable {
  readonly clock: FakeClock;
  readonly weightStore: WeightStore;
  readonly senders: readonly SenderInstance[];
  readonly engines: ReadonlyMap<string, EngineModels>;
  /** Standings as all instances see them; usable unless set. */
  readonly healthStates: Map<string, HealthState>;
  configurationOf(version: number, wanted: readonly WantedName[]): Configuration;
  /** Engines that serve a name, in a version or in any. */
  servingCount(name: string, version?: string): number;
  orderCount(): number;
  /** Moves time until `condition` holds; the time that took, ms. */
  timeUntil(condition: () => boolean, limitMs: number): Promise<number>;
}

const STEP_MS = 100;

/** Starts the region; instance 0 is the sender. */
export function startEngineRegion(options: EngineRegionOptions): EngineRegion {
  const { engineCount, senderCount, fencing, slots, loadMs, loadsPerMinute } = options;
  const clock = createFakeClock();
  const owned = createDisposableStore();
  const weightStore = createWeightStore();
  const healthStates = new Map<string, HealthState>();
  const ids = Array.from({ length: engineCount }, (_unused, index) => `engine-${index}`);
  const engines = new Map(
    ids.map((id) => [id, createEngineModels({ fencing, slots, loadMs, weightStore })]),
  );
  let orders = 0;
  /** The highest version that any instance has. */
  let latest: Configuration | undefined;

  const configurationOf = (version: number, wanted: readonly WantedName[]): Configuration =>
    configurationSchema.parse({
      version,
      deployment: 'omaruru',
      regions: [{ name: REGION, failureDomains: ['rundu-a'] }],
      services: [{ kind: 'model', name: SERVICE, regions: [REGION], models: ['kit-large'] }],
      backendServers: ids.map((id, index) => ({
        id,
        service: SERVICE,
        region: REGION,
        failureDomain: 'rundu-a',
        address: `10.0.0.${index}:8000`,
        modelSlots: slots,
        refusesOldFencing: fencing === 'refuses',
      })),
      callers: [],
      placement: {
        models: wanted.map((one) => ({
          service: SERVICE,
          region: REGION,
          ...one,
          source: `weights/${one.name}/${one.version}`,
        })),
        weightStoreLoadsPerMinute: loadsPerMinute,
      },
    });

  const requireEngine = (id: string): EngineModels => {
    const engine = engines.get(id);
    if (engine === undefined) throw new Error(`no engine ${id}`);
    return engine;
  };

  const startSender = (index: number): SenderInstance => {
    const ownClock = createPausableClock(clock);
    const logger = createMemoryLogger();
    const cut = new Set<string>();
    const configuration = createConfigurationStore(logger);
    const sleep = (ms: number) => sleepUntil(ownClock, ownClock.monotonicMs() + ms);
    const pauses = owned.add(
      createPauseGuard({
        clock: ownClock,
        logger,
        // As with real peers: fresh means a configuration no older than theirs.
        async refresh() {
          await sleep(REFRESH_MS);
          configuration.offer(JSON.stringify(latest), 'peer');
          return true;
        },
      }),
    );
    const reach = async (engineId: string): Promise<void> => {
      if (!cut.has(engineId)) return;
      await sleep(TIMEOUT_MS);
      throw new Error('timeout');
    };
    const client: EngineClient = {
      async look({ engineId }) {
        await reach(engineId);
        const sight = requireEngine(engineId).sight(engineId, clock.monotonicMs());
        await sleep(LATENCY_MS);
        return sight;
      },
      async send({ engineId }, order, fencingNumber) {
        if (cut.has(engineId)) {
          await sleep(TIMEOUT_MS);
          return { kind: 'failed', reason: 'timeout' };
        }
        orders += 1;
        const answer = requireEngine(engineId).take(order, fencingNumber, clock.monotonicMs());
        await sleep(LATENCY_MS);
        return answer;
      },
    };
    const sender: SenderInstance = {
      clock: ownClock,
      logger,
      cut,
      isSender: index === 0,
      configure: (document) => {
        if (latest === undefined || document.version > latest.version) latest = document;
        configuration.offer(JSON.stringify(document), 'test');
      },
    };
    pauses.start();
    owned.add(
      runEngineOrders({
        clock: ownClock,
        logger,
        region: REGION,
        configuration,
        health: {
          isOnDuty: () => sender.isSender,
          healthState: (id) => healthStates.get(id) ?? { kind: 'usable' },
        },
        pauses,
        client,
      }),
    );
    return sender;
  };

  const senders = Array.from({ length: senderCount }, (_unused, index) => startSender(index));

  return {
    clock,
    weightStore,
    senders,
    engines,
    healthStates,
    configurationOf,
    servingCount: (name, version) =>
      [...engines].filter(([id, engine]) =>
        engine
          .sight(id, clock.monotonicMs())
          .models.some(
            (one) =>
              one.name === name &&
              one.state === 'loaded' &&
              (version === undefined || one.version === version),
          ),
      ).length,
    orderCount: () => orders,
    async timeUntil(condition, limitMs) {
      const startMs = clock.monotonicMs();
      while (!condition() && clock.monotonicMs() - startMs < limitMs) {
        await clock.advanceByAsync(STEP_MS);
      }
      return clock.monotonicMs() - startMs;
    },
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
