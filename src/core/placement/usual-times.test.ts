import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createUsualTimes } from './usual-times';

const STEP_MS = 100;

/** Records one sample each 100 ms, and returns the usual time after the last one. */
function usualAfter(...phases: readonly (readonly [ownMs: number, samples: number])[]) {
  const times = createUsualTimes();
  let nowMs = 0;
  for (const [ownMs, samples] of phases) {
    for (let index = 0; index < samples; index += 1) {
      times.record('kind', ownMs, nowMs);
      nowMs += STEP_MS;
    }
  }
  return times.usualMs('kind');
}

// Guards against lateness that is learned from what a route takes by nature, and against hiding that all servers are slow.
describe('the usual time of a kind', () => {
  const cases = [
    { name: 'is not known after two requests', phases: [[200, 2]], expected: undefined },
    { name: 'is known after three', phases: [[2_500, 3]], expected: 2_500 },
    {
      name: 'falls soon',
      phases: [
        [2_500, 20],
        [200, 5],
      ],
      expected: 200,
    },
    {
      name: 'stays while all servers are slow for a while',
      phases: [
        [200, 20],
        [800, 100],
      ],
      expected: 200,
    },
    {
      name: 'rises once that lasts',
      phases: [
        [200, 20],
        [2_500, 320],
      ],
      expected: 2_500,
    },
    {
      name: 'follows a small change at once',
      phases: [
        [200, 20],
        [260, 9],
      ],
      expected: 260,
    },
  ] as const;
  for (const { name, phases, expected } of cases) {
    it(name, () => assert.equal(usualAfter(...phases), expected));
  }
});
