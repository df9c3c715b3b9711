/**
 * What callers get under the ways of limiting concurrency that were weighed: latency gradient, AIMD, fixed.
 * `npm run bench:limit-rules [-- --json]`
 */
import { answersPerSecondBetween, classOf, runScenario } from '../decisions/harness';
import type { PolicyFactory, Scenario } from '../decisions/harness';
import { schedulerPolicy } from '../decisions/policies/scheduler-policy';
import { capacityPerSecond } from '../decisions/scenarios/capacity';
import {
  callerOf,
  drawPlainCall,
  oneRegion,
  plainServerIn,
  times,
} from '../decisions/scenarios/fleet';
import { printFigures } from '../figures';
import type { Figure } from '../figures';
import { aimdRule } from './aimd-rule';

const OVERLOAD = 1.5;

/** A limit that stays at a number of requests of mean size. */
function fixedRule(requests: number): PolicyFactory {
  return schedulerPolicy(`fixed ${requests}`, {
    limitRule: ({ meanRequestUnits }) => requests * meanRequestUnits,
  });
}

const POLICIES = [
  schedulerPolicy('gradient'),
  schedulerPolicy('AIMD', { limitRule: aimdRule }),
  fixedRule(2),
  fixedRule(5),
  fixedRule(12),
];

const engines = oneRegion('engines', { durationMs: 80_000 });
const plain: Scenario = {
  ...oneRegion('plain', { durationMs: 40_000 }),
  servers: times(3, (index) => plainServerIn('windhoek', index)),
};

const CASES = [
  { scenario: engines, caller: callerOf('desk') },
  {
    scenario: plain,
    caller: callerOf('desk', {
      service: 'orders',
      drawWork: drawPlainCall,
      deadlineMs: 2_000,
    }),
  },
];

const figures = CASES.flatMap(({ scenario, caller }): Figure[] => {
  const capacity = capacityPerSecond(scenario, [{ caller, share: 1 }]);
  const arrivals = [{ fromMs: 0, untilMs: scenario.durationMs, perSecond: OVERLOAD * capacity }];
  return POLICIES.flatMap((policy): Figure[] => {
    const run = runScenario({ ...scenario, callers: [{ ...caller, arrivals }] }, policy);
    const goodput = answersPerSecondBetween(run, 20_000, scenario.durationMs) / capacity;
    const { admittedLatency } = classOf(run, 'short');
    const name = `${scenario.name}, ${policy.name}`;
    return [
      { name: `${name}: goodput to capacity`, value: goodput, unit: 'ratio' },
      { name: `${name}: p99 of admitted`, value: admittedLatency.p99Ms, unit: 'ms' },
    ];
  });
});

printFigures('limit-rules', figures);
