import { leastInFlight, runScenario, unboundedRetries } from '../harness';
import type { CallerSpec, Fault, RunResult, Scenario } from '../harness';
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

/** Scenarios of retries. */
export const RETRY_SCENARIOS: readonly ScenarioEntry[] = [totalOutage, serverLost];
