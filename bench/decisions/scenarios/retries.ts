import { answersPerSecondBetween, leastInFlight, runScenario, unboundedRetries } from '../harness';
import type { CallerSpec, Fault, RunResult, Scenario } from '../harness';
import { regional } from '../policies/regional';
import { resilient } from '../policies/resilient';
import type { ScenarioEntry } from '../scenario-entry';
import { chatCaller, engine, scenarioOf } from './omaruru';

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5', 'engine-6'];
const COUNTED_FROM_MS = 8_000;
const FROM_MS = 10_000;

function fleet(name: string, faults: readonly Fault[], callers: readonly CallerSpec[]): Scenario {
  const servers = ENGINES.map((serverId) => engine(serverId));
  return scenarioOf({ name, servers, callers, faults, warmUpMs: COUNTED_FROM_MS });
}

const crashAt = (atMs: number, serverIds: readonly string[]): Fault[] =>
  serverIds.map((serverId) => ({ kind: 'crash', atMs, serverId }));

const answeredShare = (run: RunResult): number => run.answered / run.offered;

const totalOutage: ScenarioEntry = {
  name: 'total-outage',
  summary: 'Every server of a service is down for the rest of the run.',
  run() {
    const scenario = fleet('total outage', crashAt(FROM_MS, ENGINES), [chatCaller()]);
    const own = runScenario(scenario, resilient());
    // Unbounded retries would try each request some 25,000 times until its deadline; see the lost server.
    const plain = [runScenario(scenario, leastInFlight)];
    return {
      runs: [own, ...plain],
      figures: [{ name: 'total-outage: tries per request', measured: own.attemptsPerRequest }],
    };
  },
};

const serverLost: ScenarioEntry = {
  name: 'server-lost',
  summary: 'One server of six crashes with requests open on it and stays down.',
  run() {
    const scenario = fleet('server lost', crashAt(FROM_MS, ['engine-1']), [chatCaller()]);
    const own = runScenario(scenario, resilient());
    const plain = [
      runScenario(scenario, resilient('without ejection', { outliers: false })),
      runScenario(scenario, leastInFlight),
      runScenario(scenario, unboundedRetries),
    ];
    return {
      runs: [own, ...plain],
      figures: [
        { name: 'server-lost: share of requests answered', measured: answeredShare(own) },
        { name: 'server-lost: tries per request', measured: own.attemptsPerRequest },
      ],
    };
  },
};

const STORM_PER_SECOND = 45;
const STORM_FROM_MS = 30_000;
const STORM_UNTIL_MS = 60_000;
const STORM_OVER_MS = 70_000;
const STORM_END_MS = 120_000;

const retryStorm: ScenarioEntry = {
  name: 'retry-storm',
  summary: 'A service is down for 30 s while its callers send again and again; then it is back.',
  run() {
    const arrivals = [{ fromMs: 0, untilMs: STORM_END_MS, perSecond: STORM_PER_SECOND }];
    const callers = ['builders', 'farmers', 'dealers'].map((callerId) =>
      chatCaller({
        callerId,
        arrivals: arrivals.map((stretch) => ({ ...stretch, perSecond: STORM_PER_SECOND / 3 })),
        deadlineMs: 5_000,
        retry: { kind: 'atRetryTime', delayMs: 1_000, maxTries: 40 },
      }),
    );
    const recoverAll: Fault[] = ENGINES.map((serverId) => ({
      kind: 'recover',
      atMs: STORM_UNTIL_MS,
      serverId,
    }));
    const faults = [...crashAt(STORM_FROM_MS, ENGINES), ...recoverAll];
    const scenario = fleet('retry storm', faults, callers);
    const own = runScenario(scenario, regional());
    const plain = [
      runScenario(scenario, resilient('without admission')),
      runScenario(scenario, leastInFlight),
    ];
    return {
      runs: [own, ...plain],
      figures: [
        {
          name: 'retry-storm/goodput-after-recovery',
          measured: answersPerSecondBetween(own, STORM_OVER_MS, STORM_END_MS) / STORM_PER_SECOND,
        },
        { name: 'retry-storm/tries-per-request', measured: own.attemptsPerRequest },
      ],
    };
  },
};

/** Scenarios of retries. */
export const RETRY_SCENARIOS: readonly ScenarioEntry[] = [totalOutage, serverLost, retryStorm];
