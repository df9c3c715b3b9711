import { classOf, leastInFlight, runScenario } from '../harness';
import type { CallerSpec, Fault, RunResult, Scenario, ScenarioWeights } from '../harness';
import { leastInFlightAnywhere } from '../policies/anywhere';
import { regional } from '../policies/regional';
import { schedulerPolicy } from '../policies/scheduler-policy';
import type { ScenarioEntry } from '../scenario-entry';
import { callerOf, engineIn, instancesIn, oneRegion, times } from './fleet';

const HOME = 'windhoek';
const NEXT = 'walvis-bay';
const REGIONS = [HOME, NEXT];
const ENGINES = 6;
/** Requests a second that one engine answers at its limit: six of them answered 62.8 under excess. */
const PER_ENGINE = 10;
const CAPACITY = ENGINES * PER_ENGINE;
const OMARURU: ScenarioWeights = { tailLatency: 1, remoteShare: 0.3, cost: 0.2 };
const HOOGHLY: ScenarioWeights = { tailLatency: 0.3, remoteShare: 1, cost: 0.2 };
/** Part of the requests that may be nowhere but at home. */
const HOME_BOUND = 0.33;
const DURATION_MS = 180_000;
const FAULT_AT_MS = 40_000;
const BACK_AT_MS = 100_000;
/** Groups of prompts that share their start, so that caches have something to lose. */
const PREFIXES = 24;
const PREFIX_TOKENS = 1_000;

function callersIn(region: string, perSecond: number): CallerSpec[] {
  const callerIn = (callerId: string, rate: number, allowedRegions: string[]): CallerSpec =>
    callerOf(callerId, {
      className: region,
      homeRegion: region,
      allowedRegions,
      arrivals: [{ fromMs: 0, untilMs: DURATION_MS, perSecond: rate }],
      drawWork: (random) => {
        const prefixKey = `${region}/${Math.floor(random.next() * PREFIXES)}`;
        const promptTokens = 1_200 + Math.floor(200 * random.next());
        const outputTokens = 20 + Math.floor(80 * random.next());
        return {
          promptTokens,
          outputTokens,
          maxOutputTokens: 128,
          prefixKey,
          prefixTokens: PREFIX_TOKENS,
        };
      },
    });
  return [
    ...times(4, (index) =>
      callerIn(`${region}-free-${index}`, (perSecond * (1 - HOME_BOUND)) / 4, REGIONS),
    ),
    ...times(2, (index) =>
      callerIn(`${region}-bound-${index}`, (perSecond * HOME_BOUND) / 2, [region]),
    ),
  ];
}

function twoRegions(
  name: string,
  load: { readonly home: number; readonly next: number },
  change: Partial<Scenario> = {},
): Scenario {
  return oneRegion(name, {
    durationMs: DURATION_MS,
    warmUpMs: 20_000,
    servers: REGIONS.flatMap((region) => times(ENGINES, (index) => engineIn(region, index))),
    instances: REGIONS.flatMap((region) => instancesIn(region, 3)),
    callers: [...callersIn(HOME, load.home * CAPACITY), ...callersIn(NEXT, load.next * CAPACITY)],
    weights: OMARURU,
    ...change,
  });
}

const remoteShareOf = (run: RunResult): number => classOf(run, HOME).remoteShare;
const p99Of = (run: RunResult, region: string): number => classOf(run, region).latency.p99Ms;

const calmHome: ScenarioEntry = {
  name: 'home-at-80',
  summary: 'Both regions run at 80% and 50% of their capacity.',
  run() {
    const scenario = twoRegions('home at 80%', { home: 0.8, next: 0.5 });
    const own = runScenario(scenario, regional());
    return {
      runs: [own, runScenario(scenario, leastInFlightAnywhere)],
      figures: [{ name: 'home-at-80/remote-share', measured: remoteShareOf(own) }],
    };
  },
};

const excess: ScenarioEntry = {
  name: 'excess-by-weights',
  summary: 'Home gets 1.3 times its capacity; the next region runs at 40%.',
  run() {
    const load = { home: 1.3, next: 0.4 };
    const omaruru = runScenario(twoRegions('excess', load), regional('omaruru’s weights'));
    const hooghly = runScenario(
      twoRegions('excess', load, { weights: HOOGHLY }),
      regional('hooghly’s weights'),
    );
    const alone = runScenario(twoRegions('excess', load), schedulerPolicy('no spillover'));
    return {
      runs: [omaruru, hooghly, alone],
      figures: [
        {
          name: 'excess-by-weights/hooghly-to-omaruru',
          measured: remoteShareOf(hooghly) / remoteShareOf(omaruru),
        },
        {
          name: 'excess-by-weights/answered-to-no-spillover',
          measured: classOf(omaruru, HOME).answered / classOf(alone, HOME).answered,
        },
      ],
    };
  },
};

const lostHalf = (kind: 'crash' | 'recover', atMs: number): Fault[] =>
  times(ENGINES / 2, (index) => ({ kind, atMs, serverId: `${HOME}-engine-${index}` }));

function mean(values: readonly number[], from: number, until: number): number {
  const part = values.slice(from, until);
  return part.reduce((sum, value) => sum + value, 0) / part.length;
}

/** Most by which the remote share of one ten-second stretch exceeds the one before, once the shift is over. */
function largestSwing(run: RunResult, fromS: number, untilS: number): number {
  const stretches: number[] = [];
  for (let second = fromS; second + 10 <= untilS; second += 10) {
    const part = run.remoteBySecond.slice(second, second + 10);
    stretches.push(part.reduce((sum, share) => sum + share, 0) / part.length);
  }
  return Math.max(...stretches.slice(1).map((share, at) => Math.abs(share - (stretches[at] ?? 0))));
}

/** Part of the shared prefix tokens of a stretch that were computed again. */
function recomputedShare(run: RunResult, fromS: number, untilS: number): number {
  const asked = mean(run.answeredBySecond, fromS, untilS) * PREFIX_TOKENS;
  return mean(run.recomputedBySecond, fromS, untilS) / asked;
}

const halfLost: ScenarioEntry = {
  name: 'region-half-lost',
  summary: 'Home at 70% loses half of its engines for a minute; they come back with cold caches.',
  run() {
    const load = { home: 0.7, next: 0.5 };
    const faults = [...lostHalf('crash', FAULT_AT_MS), ...lostHalf('recover', BACK_AT_MS)];
    const scenario = twoRegions('region half lost', load, { faults });
    const own = runScenario(scenario, regional());
    const undisturbed = runScenario(twoRegions('undisturbed', load), regional('without the loss'));
    const plain = [
      runScenario(scenario, schedulerPolicy('no spillover')),
      runScenario(scenario, leastInFlightAnywhere),
      runScenario(scenario, leastInFlight),
    ];
    return {
      runs: [own, undisturbed, ...plain],
      figures: [
        {
          name: 'region-half-lost/next-p99-to-undisturbed',
          measured: p99Of(own, NEXT) / p99Of(undisturbed, NEXT),
        },
        {
          name: 'region-half-lost/next-answered',
          measured: classOf(own, NEXT).answered / classOf(own, NEXT).offered,
        },
        {
          name: 'region-half-lost/home-answered-to-no-spillover',
          measured: classOf(own, HOME).answered / classOf(plain[0] as RunResult, HOME).answered,
        },
        { name: 'region-half-lost/largest-swing', measured: largestSwing(own, 60, 100) },
        {
          name: 'region-half-lost/remote-after-return',
          measured: mean(own.remoteBySecond, 150, 180),
        },
        {
          name: 'region-half-lost/recomputed-share-after-return',
          measured: recomputedShare(own, 130, 180),
        },
      ],
    };
  },
};

/** Scenarios of spillover between regions. */
export const SPILLOVER_SCENARIOS: readonly ScenarioEntry[] = [calmHome, excess, halfLost];
