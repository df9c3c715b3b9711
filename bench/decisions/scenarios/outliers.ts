import { classOf, leastInFlight, roundRobin, runScenario } from '../harness';
import type { Scenario } from '../harness';
import { hedging } from '../policies/hedging';
import { resilient } from '../policies/resilient';
import type { ScenarioEntry } from '../scenario-entry';
import { chatCaller, engine, orderServer, scenarioOf, stockCaller } from './omaruru';

const SLOW_FROM_MS = 10_000;
const TIMES_SLOWER = 10;

/** One server becomes ten times slower for the rest of the run. */
function slowServer(
  kind: 'engine' | 'plain',
  callerRatePerSecond: number,
): { slow: Scenario; without: Scenario } {
  const ids = Array.from(
    { length: kind === 'engine' ? 8 : 3 },
    (_unused, at) => `server-${at + 1}`,
  );
  const make = kind === 'engine' ? engine : orderServer;
  const [slowId = '', ...goodIds] = ids;
  const arrivals = [{ fromMs: 0, untilMs: 120_000, perSecond: callerRatePerSecond }];
  const caller = kind === 'engine' ? chatCaller({ arrivals }) : stockCaller({ arrivals });
  const base = { callers: [caller], warmUpMs: SLOW_FROM_MS };
  return {
    slow: scenarioOf({
      ...base,
      name: `one slow ${kind}`,
      servers: ids.map((id) => make(id)),
      faults: [{ kind: 'slow', atMs: SLOW_FROM_MS, serverId: slowId, factor: TIMES_SLOWER }],
    }),
    without: scenarioOf({
      ...base,
      name: `without the slow ${kind}`,
      servers: goodIds.map((id) => make(id)),
    }),
  };
}

function slowServerEntry(
  kind: 'engine' | 'plain',
  className: string,
  perSecond: number,
): ScenarioEntry {
  return {
    name: `one-slow-${kind}`,
    summary: `One server of the service becomes ${TIMES_SLOWER} times slower and stays so.`,
    run() {
      const { slow, without } = slowServer(kind, perSecond);
      const own = runScenario(slow, resilient());
      const ownWithout = runScenario(without, resilient('coltsfootworks without that server'));
      const plain = [
        runScenario(slow, resilient('without ejection', { outliers: false })),
        runScenario(slow, hedging(kind === 'engine' ? 400 : 160, 0.1)),
        runScenario(slow, leastInFlight),
        runScenario(slow, roundRobin),
      ];
      const p99Of = (run: typeof own) => classOf(run, className).latency.p99Ms;
      return {
        runs: [own, ownWithout, ...plain],
        figures: [
          {
            name: `one-slow-${kind}: p99 against the fleet without it`,
            measured: p99Of(own) / p99Of(ownWithout),
          },
        ],
      };
    },
  };
}

/** Scenarios of outlier ejection. */
export const OUTLIER_SCENARIOS: readonly ScenarioEntry[] = [
  slowServerEntry('engine', 'chat', 40),
  slowServerEntry('plain', 'stock', 150),
];
