import { answersPerSecondBetween, classOf, fifoWithFixedLimit, runScenario } from '../harness';
import type { CallerSpec, Scenario } from '../harness';
import { instancesIn } from './fleet';

/** Offered load: more than any fleet of this kind here can do. */
const FLOOD_PER_SECOND = { engine: 150, plain: 800 } as const;
const RUN_MS = 60_000;
const SETTLED_AT_MS = 20_000;
const LONG_DEADLINE_MS = 3_600_000;

/** Fixed limits among which the best counts. */
const LIMITS_PER_SERVER = { engine: [24, 32, 40], plain: [8, 12] } as const;

/** A caller and its share of the requests. */
export interface MixPart {
  readonly caller: CallerSpec;
  readonly share: number;
}

/**
 * Answers a second that a fleet gives at most for a mix of callers, whose `share`s add up to 1: a backlog that is
 * never empty, no deadlines, one instance that sees everything, and the best of several fixed limits.
 */
export function capacityPerSecond(scenario: Scenario, mix: readonly MixPart[]): number {
  const kind = scenario.servers[0]?.kind ?? 'engine';
  const flooded: Scenario = {
    ...scenario,
    durationMs: RUN_MS,
    drainMs: 0,
    warmUpMs: 0,
    faults: [],
    instances: instancesIn(scenario.instances[0]?.region ?? '', 1),
    callers: mix.map(({ caller, share }) => ({
      ...caller,
      priority: 'interactive',
      deadlineMs: LONG_DEADLINE_MS,
      arrivals: [{ fromMs: 0, untilMs: RUN_MS, perSecond: FLOOD_PER_SECOND[kind] * share }],
    })),
  };
  const rates = LIMITS_PER_SERVER[kind].map((limit) =>
    answersPerSecondBetween(runScenario(flooded, fifoWithFixedLimit(limit)), SETTLED_AT_MS, RUN_MS),
  );
  return Math.max(...rates);
}

/** A fixed limit above a full batch, so that the engines themselves order the work. */
const ROOMY_LIMIT = 40;

/** Share of each class that has to be in time for a rate to count as carried, as the users state their target. */
const IN_TIME_SHARE = 0.95;

/** Rates tried, as shares of the rate without deadlines. */
const RATE_SHARES = [1, 0.95, 0.9, 0.85, 0.8, 0.75, 0.7, 0.65, 0.6];

/**
 * The greatest rate that a fleet carries with 95 in 100 of each class in time: one instance, a fixed limit. Where
 * long work shares steps with short, the rate without deadlines is one at which short work misses them all.
 */
export function rateInTime(scenario: Scenario, mix: readonly MixPart[]): number {
  const most = capacityPerSecond(scenario, mix);
  const isCarried = (perSecond: number): boolean => {
    const steady: Scenario = {
      ...scenario,
      durationMs: RUN_MS,
      warmUpMs: SETTLED_AT_MS,
      instances: instancesIn(scenario.instances[0]?.region ?? '', 1),
      callers: mix.map(({ caller, share }) => ({
        ...caller,
        arrivals: [{ fromMs: 0, untilMs: RUN_MS, perSecond: perSecond * share }],
      })),
    };
    const run = runScenario(steady, fifoWithFixedLimit(ROOMY_LIMIT));
    return mix.every(({ caller }) => {
      const { answered, offered } = classOf(run, caller.className);
      return answered >= IN_TIME_SHARE * offered;
    });
  };
  const share = RATE_SHARES.find((candidate) => isCarried(candidate * most));
  if (share === undefined) throw new Error(`${scenario.name}: no rate tried is carried in time`);
  return share * most;
}
