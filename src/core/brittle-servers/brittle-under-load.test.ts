import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { simulateBrittle } from './testing/simulate-brittle';
import type { BrittleScenario } from './testing/simulate-brittle';

const SCENARIO: BrittleScenario = {
  seed: 1,
  instances: 6,
  servers: 5,
  maxRejections: 1,
  requestsPerSecond: 160,
  lostShare: 0,
  readsStatements: true,
};
/** Falls that are allowed in one time in which servers are brittle: two, and a tenth of the servers. */
const MAX_FALLS = 2.5;
const MIN_USE = 0.7;

const CASES: readonly Partial<BrittleScenario>[] = [
  { instances: 1 },
  { instances: 6 },
  { instances: 6, requestsPerSecond: 300 },
  { instances: 6, requestsPerSecond: 300, maxRejections: 5 },
  { instances: 6, requestsPerSecond: 300, lostShare: 0.1 },
  { instances: 30, requestsPerSecond: 300 },
  { instances: 30, requestsPerSecond: 300, lostShare: 0.1, seed: 2 },
];

// Guards against servers that fail one after the other under overload, because instances together send them more than they
// have room for, and again when they have just come back.
describe('brittle servers under overload', () => {
  for (const more of CASES) {
    const scenario = { ...SCENARIO, ...more };
    const { instances, requestsPerSecond, maxRejections, lostShare } = scenario;
    const title = `${instances} instances, ${requestsPerSecond} requests/s, ${maxRejections} rejections, ${lostShare} of messages lost`;
    it(`seldom fail, and are used: ${title}`, () => {
      const { falls, use } = simulateBrittle(scenario);
      assert.ok(falls <= MAX_FALLS, `${falls} falls`);
      assert.ok(use >= MIN_USE, `${use.toFixed(3)} of what the servers can do`);
    });
  }

  it('fail again and again if nobody reads what they state', () => {
    const { falls } = simulateBrittle({ ...SCENARIO, readsStatements: false });
    assert.ok(falls > 2 * MAX_FALLS, `${falls} falls`);
  });
});
