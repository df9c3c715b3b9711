import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { simulateCrashes } from './testing/simulate-crashes';
import type { CrashScenario } from './testing/simulate-crashes';

const CALM: CrashScenario = {
  servers: 12,
  soundPerS: 30,
  badPerS: 0,
  crashingParts: [],
  otherCrashesPerS: 0,
  seconds: 30,
  calmSeconds: 10,
  seed: 1,
};
const SEEDS = Array.from({ length: 20 }, (_unused, index) => index + 1);
/** Requests with the part that may reach servers from 5 s after its fifth crash on. */
const LATE_ALLOWED = 3;

const CAUSES: readonly (Partial<CrashScenario> & { readonly name: string })[] = [
  { name: 'in one of five requests', badPerS: 8, crashingParts: ['bad'] },
  { name: 'in one of thirty requests', badPerS: 1, crashingParts: ['bad'] },
  { name: 'in one of a hundred requests', badPerS: 0.3, seconds: 60, crashingParts: ['bad'] },
  { name: 'in a third of the requests', badPerS: 15, crashingParts: ['bad'] },
  { name: 'with two causes at once', badPerS: 4, crashingParts: ['bad', 'worse'] },
  { name: 'with three causes at once', badPerS: 1, crashingParts: ['bad', 'worse', 'worst'] },
  { name: 'beside other crashes', badPerS: 1, crashingParts: ['bad'], otherCrashesPerS: 0.5 },
  {
    name: 'right after all instances have started',
    badPerS: 8,
    crashingParts: ['bad'],
    calmSeconds: 0,
  },
  { name: 'beside a loss of power', badPerS: 2, crashingParts: ['bad'], powerLossAtMs: 12_000 },
];

const NO_CAUSES: readonly (Partial<CrashScenario> & { readonly name: string })[] = [
  { name: 'one server a second', otherCrashesPerS: 1 },
  { name: 'four servers a second', otherCrashesPerS: 4 },
  {
    name: 'four servers a second, when all instances have just started',
    otherCrashesPerS: 4,
    calmSeconds: 0,
  },
  { name: 'a failure domain at once', powerLossAtMs: 12_000 },
];

describe('the cause of crashes', () => {
  for (const { name, ...scenario } of CAUSES) {
    // A cause that is found late ends server after server; an innocent part that is refused with it, hardly anyone is served.
    it(`is found in time and nothing else is taken for it, ${name}`, () => {
      for (const seed of SEEDS) {
        const outcome = simulateCrashes({ ...CALM, ...scenario, seed });
        for (const [part, late] of outcome.lateByPart) {
          const crashes = outcome.crashesByPart.get(part);
          assert.ok(
            late <= LATE_ALLOWED,
            `${late} after ${crashes} crashes by ${part}, seed ${seed}`,
          );
        }
        const innocent = [...outcome.convicted].filter(
          (part) => scenario.crashingParts?.includes(part) !== true,
        );
        assert.deepEqual(innocent, [], `seed ${seed}`);
      }
    });
  }

  for (const { name, ...scenario } of NO_CAUSES) {
    // Servers end for causes of their own. If a part of the requests there were taken for the cause, its requests would be
    // refused for a quarter of an hour.
    it(`is not seen in any part if servers end by themselves, ${name}`, () => {
      for (const seed of SEEDS) {
        const { convicted } = simulateCrashes({ ...CALM, ...scenario, seed });
        assert.deepEqual([...convicted], [], `seed ${seed}`);
      }
    });
  }
});
