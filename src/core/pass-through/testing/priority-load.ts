import { READ_MS_PER_TOKEN } from './prompt-reader';
import {
  admittedShare,
  inTimeShare,
  readInTimeMs,
  simulateAdmission,
  splitBySize,
} from './simulate-admission';
import type { Arrival, PriorityRule, PromptSizes, SimulatedKind } from './simulate-admission';

/** Loads of urgent and less urgent requests that share servers, and what becomes of them with and without priorities. */

export const URGENT: SimulatedKind = {
  priority: 0,
  objectiveMs: 500,
  sizes: { medianTokens: 1_500, spread: 0.4, minTokens: 500, maxTokens: 4_000 },
  share: 0.55,
};
export const RELAXED: SimulatedKind = {
  priority: 2,
  objectiveMs: 1_500,
  sizes: { medianTokens: 9_000, spread: 0.45, minTokens: 4_000, maxTokens: 36_000 },
  share: 0.45,
};
/** Number of servers. */
export const SERVERS = 8;
const SEEDS = [1, 2, 3, 4];
/** Time after which requests count, ms: instances learn the speed of the servers before. */
const FROM_MS = 40_000;
const DURATION_MS = 80_000;
/** Fixed time of a first byte, ms. A longer one is learned as reading time of short prompts (issue 30). */
const FIXED_MS = 60;
const WAVE_MS = 20_000;
/** Request rates at the bottom and at the top of a wave, as multiples of the mean. */
const MIN_RATE_FACTOR = 0.17;
const MAX_RATE_FACTOR = 2.8;
/** Parts of a wave: the rate rises until the first, stays high until the second and falls until the third. */
const WAVE_PARTS = { risen: 0.1, high: 0.316, fallen: 0.416 };

/** Returns the request rate as a multiple of the mean, in waves of 20 s. */
function waveFactor(atMs: number): number {
  const { risen, high, fallen } = WAVE_PARTS;
  const part = (atMs % WAVE_MS) / WAVE_MS;
  const height = Math.max(0, Math.min(part / risen, 1, (fallen - part) / (fallen - high)));
  return MIN_RATE_FACTOR + (MAX_RATE_FACTOR - MIN_RATE_FACTOR) * height;
}

function meanTokens({ medianTokens, spread }: PromptSizes): number {
  return medianTokens * Math.exp(spread ** 2 / 2);
}

/** One load. */
export interface Load {
  readonly capacityMultiple: number;
  readonly instances: number;
  readonly isInWaves: boolean;
}

/** Simulates both kinds, of which the urgent one is a sixth of the work. */
function simulate(load: Load, seed: number, priorityRule: PriorityRule): readonly Arrival[] {
  const kinds = [URGENT, RELAXED];
  const tokensPerRequest = kinds.reduce(
    (sum, { share, sizes }) => sum + share * meanTokens(sizes),
    0,
  );
  const perSecond =
    (load.capacityMultiple * SERVERS * 1_000) / (READ_MS_PER_TOKEN * tokensPerRequest);
  const arrivals = simulateAdmission({
    seed,
    perSecond,
    instances: load.instances,
    servers: SERVERS,
    durationMs: DURATION_MS,
    kinds,
    fixedMs: FIXED_MS,
    priorityRule,
    ...(load.isInWaves ? { rateFactor: waveFactor } : {}),
  });
  return arrivals.filter(({ atMs }) => atMs >= FROM_MS);
}

/** Results of one load over all seeds. */
export function measure(load: Load, priorityRule: PriorityRule) {
  const arrivals = SEEDS.flatMap((seed) => simulate(load, seed, priorityRule));
  const ofKind = ({ priority }: SimulatedKind) =>
    arrivals.filter(({ kind }) => kind.priority === priority);
  const [urgent, relaxed] = [ofKind(URGENT), ofKind(RELAXED)];
  return {
    urgent: { served: admittedShare(urgent), inTime: inTimeShare(urgent) },
    relaxed: { served: admittedShare(relaxed), inTime: inTimeShare(relaxed) },
    largestTenthServed: admittedShare(splitBySize(relaxed).largestTenth),
    /** Work finished in time, as a share of what the servers can do. */
    goodput: readInTimeMs(arrivals) / (SEEDS.length * SERVERS * (DURATION_MS - FROM_MS)),
  };
}

/** Loads at which priorities are measured, steady or in waves. */
export function loadsAboveCapacity(isInWaves: boolean): readonly Load[] {
  return [0.9, 1.2, 1.5, 2.5].flatMap((capacityMultiple) =>
    [1, 6, 30].map((instances) => ({ capacityMultiple, instances, isInWaves })),
  );
}

/** Bounds that operators require; see docs/load-under-scarcity.md. */
export const PRIORITY_BOUNDS = {
  maxServedDeficit: 0.05,
  maxInTimeDeficit: 0.15,
  minUrgentInTime: 0.99,
  minGoodput: 0.95,
  minLargestTenth: 0.5,
} as const;

/** Measures a load with and without priorities. */
export function comparePriorities(load: Load) {
  const { capacityMultiple, instances, isInWaves } = load;
  const bounded = measure(load, 'maxWait');
  const unbounded = measure(load, 'none');
  return {
    name: `${capacityMultiple} times capacity${isInWaves ? ' in waves' : ''}, ${instances} instances`,
    ...bounded,
    unboundedGoodput: unbounded.goodput,
    details: JSON.stringify({ bounded, unbounded }),
  };
}
