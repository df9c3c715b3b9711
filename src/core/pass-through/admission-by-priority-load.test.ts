import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { READ_MS_PER_TOKEN } from './testing/prompt-reader';
import {
  admittedShare,
  inTimeShare,
  readInTimeMs,
  simulateAdmission,
  splitBySize,
} from './testing/simulate-admission';
import type {
  Arrival,
  PriorityRule,
  PromptSizes,
  SimulatedKind,
} from './testing/simulate-admission';

const URGENT: SimulatedKind = {
  priority: 0,
  objectiveMs: 500,
  sizes: { medianTokens: 1_500, spread: 0.4, minTokens: 500, maxTokens: 4_000 },
  share: 0.55,
};
const RELAXED: SimulatedKind = {
  priority: 2,
  objectiveMs: 1_500,
  sizes: { medianTokens: 9_000, spread: 0.45, minTokens: 4_000, maxTokens: 36_000 },
  share: 0.45,
};
const SERVERS = 8;
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

interface Load {
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
function measure(load: Load, priorityRule: PriorityRule) {
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

const loads: readonly Load[] = [false, true].flatMap((isInWaves) =>
  [0.9, 1.2, 1.5, 2.5].flatMap((capacityMultiple) =>
    [1, 6, 30].map((instances) => ({ capacityMultiple, instances, isInWaves })),
  ),
);
/** Bounds that operators require; see docs/load-under-scarcity.md. */
const MAX_SERVED_DEFICIT = 0.05;
const MAX_IN_TIME_DEFICIT = 0.15;
const MIN_URGENT_IN_TIME = 0.99;
const MIN_GOODPUT = 0.95;
const MIN_LARGEST_TENTH = 0.5;

/**
 * Guards against admission that prefers kinds with a long objective. Queues grew until the first byte of a less urgent
 * request would have been late; by then, all urgent requests were predicted late and refused, at every retry.
 */
describe('urgent and less urgent requests that share servers', () => {
  for (const load of loads) {
    const { capacityMultiple, instances, isInWaves } = load;
    const name = `${capacityMultiple} times capacity${isInWaves ? ' in waves' : ''}, ${instances} instances`;
    const bounded = measure(load, 'maxWait');
    const unbounded = measure(load, 'none');
    const { urgent, relaxed } = bounded;
    const details = JSON.stringify({ bounded, unbounded });

    it(`are served by their priority at ${name}`, () => {
      assert.ok(urgent.served >= relaxed.served - MAX_SERVED_DEFICIT, details);
      assert.ok(urgent.inTime >= relaxed.inTime - MAX_IN_TIME_DEFICIT, details);
    });
    it(`do as much work in time as without priorities at ${name}`, () => {
      assert.ok(bounded.goodput >= unbounded.goodput, details);
    });
    it(`include the largest prompts at ${name}`, () => {
      assert.ok(bounded.largestTenthServed >= relaxed.served * MIN_LARGEST_TENTH, details);
    });
    // At the top of these waves, the urgent demand alone is above capacity.
    if (!(isInWaves && capacityMultiple === 2.5)) {
      it(`leave the urgent ones in time at ${name}`, () => {
        assert.ok(urgent.inTime >= MIN_URGENT_IN_TIME, details);
      });
    }
    // Between two waves, there is less demand than capacity.
    if (!isInWaves && capacityMultiple >= 1.2) {
      it(`keep servers busy at ${name}`, () => {
        assert.ok(bounded.goodput >= MIN_GOODPUT, details);
      });
    }
  }
});

/** Guards against a bound that refuses, delays or sends away requests although nothing is scarce. */
describe('the bound on waits', () => {
  for (const instances of [1, 6, 30]) {
    it(`refuses nobody at 0.3 times capacity, ${instances} instances`, () => {
      const load = { capacityMultiple: 0.3, instances, isInWaves: false };
      const [bounded, unbounded] = [measure(load, 'maxWait'), measure(load, 'none')];
      const details = JSON.stringify({ bounded, unbounded });
      assert.ok(bounded.urgent.served >= unbounded.urgent.served, details);
      assert.ok(bounded.relaxed.served >= unbounded.relaxed.served, details);
    });

    it(`changes nothing for a single priority at 2.5 times capacity, ${instances} instances`, () => {
      const run = (priorityRule: PriorityRule) =>
        simulateAdmission({
          seed: 1,
          perSecond: 100,
          instances,
          servers: SERVERS,
          durationMs: 20_000,
          kinds: [
            { ...RELAXED, share: 0.5 },
            { ...URGENT, priority: RELAXED.priority, share: 0.5 },
          ],
          priorityRule,
        });
      assert.deepEqual(run('maxWait'), run('none'));
    });
  }
});
