import { classOf, leastInFlight, runScenario } from '../harness';
import type { CallerSpec, RunResult, Scenario } from '../harness';
import { resilient } from '../policies/resilient';
import type { ScenarioEntry } from '../scenario-entry';
import { chatCaller, engine, instances, scenarioOf } from './omaruru';

const DURATION_MS = 120_000;

/** A caller whose every request crashes the engine that runs it, and who sends each one again and again. */
function poisonCaller(): CallerSpec {
  return chatCaller({
    callerId: 'surveyor',
    className: 'poison',
    arrivals: [{ fromMs: 10_000, untilMs: DURATION_MS, perSecond: 0.2 }],
    drawWork: () => ({
      promptTokens: 3_000,
      outputTokens: 200,
      maxOutputTokens: 200,
      crashesServer: true,
    }),
    retry: { kind: 'afterDelay', delayMs: 3_000, maxTries: 20 },
  });
}

function poisonScenario(instanceCount: number): Scenario {
  const arrivals = [{ fromMs: 0, untilMs: DURATION_MS, perSecond: 25 }];
  return scenarioOf({
    name: `poison request, ${instanceCount} instances`,
    servers: Array.from({ length: 8 }, (_unused, at) => engine(`engine-${at + 1}`)),
    instances: instances(instanceCount),
    callers: [chatCaller({ arrivals }), poisonCaller()],
  });
}

const mostCrashes = (run: RunResult): number => Math.max(0, ...run.crashesByFingerprint.values());

const poisonRequest: ScenarioEntry = {
  name: 'poison-request',
  summary:
    'Now and then a request crashes each engine that runs it, and its caller sends it 20 times.',
  run() {
    const scenario = poisonScenario(6);
    const own = runScenario(scenario, resilient());
    const plain = [
      runScenario(scenario, resilient('without poison refusal', { poison: false })),
      runScenario(scenario, leastInFlight),
    ];
    const innocent = classOf(own, 'chat');
    return {
      runs: [own, ...plain],
      figures: [
        { name: 'poison-request: most crashes per fingerprint', measured: mostCrashes(own) },
        {
          name: 'poison-request: share of other requests answered',
          measured: innocent.answered / innocent.offered,
        },
      ],
    };
  },
};

/** Scenarios of poison requests. */
export const POISON_SCENARIOS: readonly ScenarioEntry[] = [poisonRequest];
