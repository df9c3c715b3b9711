/**
 * Microseconds and bytes allocated for one request's admission, routing and end, at several sizes of a service.
 * `npm run bench:decision-cost [-- --json]`
 */
import { performance } from 'node:perf_hooks';
import { createSeededRandom, pickIndex } from '../../src/core/random';
import { createServiceScheduler } from '../../src/core/scheduling';
import type {
  Offer,
  Placement,
  ScheduledRequest,
  ServiceScheduler,
} from '../../src/core/scheduling';
import { printFigures } from '../figures';
import type { Figure } from '../figures';

const CALLERS = 18_000;
const SERVICES = 17;
const PREFIXES = 500;
const WARM_UP_ROUNDS = 20_000;
const ROUNDS = 40_000;
const ALLOCATION_ROUNDS = 2_000;
const SERVER_COUNTS = [8, 290, 2_900];

interface Load {
  /** Requests waiting throughout. */
  readonly waiting: number;
  readonly engines: number;
}

interface Driver {
  /** One request: offered, begun, first byte, ended. */
  round(): void;
}

const collectGarbage = (globalThis as { gc?: () => void }).gc;

function createScheduler(engines: number, seed: number): ServiceScheduler<number> {
  const scheduler = createServiceScheduler<number>({
    kind: 'engine',
    ownFailureDomain: 'domain-0',
    random: createSeededRandom(seed),
    batchShare: 0.2,
    batchLongestWaitMs: 20_000,
    standingWaitMs: 500_000,
  });
  scheduler.replaceServers(
    Array.from({ length: engines }, (_unused, index) => ({
      serverId: `engine-${index}`,
      address: `10.0.0.1:${index}`,
      failureDomain: `domain-${index % 4}`,
    })),
  );
  return scheduler;
}

function createDriver({ engines, waiting }: Load): Driver {
  // One service is filled in the time that seventeen would take.
  const services = waiting === 0 ? SERVICES : 1;
  const random = createSeededRandom(1);
  const schedulers = Array.from({ length: services }, (_unused, index) =>
    createScheduler(engines, index),
  );
  let nowMs = 0;
  let item = 0;
  const open: Placement<number>[] = [];

  const nextRequest = (scheduler: ServiceScheduler<number>): ScheduledRequest<number> => {
    item += 1;
    const prefix = pickIndex(random, PREFIXES);
    return {
      item,
      callerId: `caller-${pickIndex(random, CALLERS)}`,
      priority: item % 10 === 0 ? 'batch' : 'interactive',
      work: scheduler.estimate({
        promptTokens: 500 + pickIndex(random, 500),
        maxOutputTokens: 128,
        prefixes: [
          { key: `short-${prefix % 20}`, tokens: 256 },
          { key: `long-${prefix}`, tokens: 512 },
        ],
      }),
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + 10_000_000,
      mayUse: () => true,
    };
  };

  const offer = (scheduler: ServiceScheduler<number>): Offer<number>['kind'] => {
    const offered = scheduler.offer(nextRequest(scheduler), nowMs);
    if (offered.kind === 'run') open.push(offered.placement);
    open.push(...scheduler.takeReady(nowMs));
    return offered.kind;
  };

  schedulers.forEach((scheduler) => {
    let queued = 0;
    while (queued < waiting) {
      if (offer(scheduler) === 'wait') queued += 1;
    }
  });

  return {
    round() {
      nowMs += 0.1;
      const scheduler = schedulers[item % services] as ServiceScheduler<number>;
      offer(scheduler);
      const index = pickIndex(random, Math.max(1, open.length));
      const placement = open[index];
      if (placement === undefined) return;
      open[index] = open.at(-1) as Placement<number>;
      open.pop();
      const owner = schedulers[(placement.request.item - 1) % services] as ServiceScheduler<number>;
      owner.recordFirstByte(placement);
      owner.end(placement, 'answered', nowMs);
      open.push(...owner.takeReady(nowMs));
    },
  };
}

function measureMicroseconds({ round }: Driver): number {
  for (let index = 0; index < WARM_UP_ROUNDS; index += 1) round();
  const startedAtMs = performance.now();
  for (let index = 0; index < ROUNDS; index += 1) round();
  return ((performance.now() - startedAtMs) * 1000) / ROUNDS;
}

/** Bytes that a round leaves on the heap before anything is collected. */
function measureBytes({ round }: Driver): number {
  collectGarbage?.();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < ALLOCATION_ROUNDS; index += 1) round();
  return (process.memoryUsage().heapUsed - before) / ALLOCATION_ROUNDS;
}

const figures = SERVER_COUNTS.flatMap((engines): Figure[] =>
  [0, 200].flatMap((waiting) => {
    const driver = createDriver({ engines, waiting });
    const name = `${engines} engines, ${waiting === 0 ? 'room' : 'full, a queue'}`;
    const microseconds = measureMicroseconds(driver);
    return [
      { name: `${name}: a request`, value: microseconds, unit: 'µs' },
      { name: `${name}: allocated`, value: measureBytes(driver), unit: 'bytes' },
    ];
  }),
);

printFigures('decision-cost', figures);
