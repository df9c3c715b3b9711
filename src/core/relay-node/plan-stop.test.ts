import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planStop } from './plan-stop';

// The platform stops an instance. Callers learn of it seconds later and go on sending; what they send has to be
// answered, and nothing that is under way may be cut before the process is ended by force.
describe('a planned stop of 8 s', () => {
  const cases: readonly (readonly [number, number, ReturnType<typeof planStop>])[] = [
    [0, 0, 'serve'],
    [2_800, 0, 'serve'],
    [2_800, 9, 'serve'],
    [3_000, 9, 'refuse'],
    [3_000, 0, 'exit'],
    [7_000, 1, 'refuse'],
    [7_500, 1, 'exit'],
  ];
  for (const [sinceSignalMs, openRequests, expected] of cases) {
    it(`is at "${expected}" after ${sinceSignalMs} ms with ${openRequests} requests open`, () => {
      assert.equal(planStop({ sinceSignalMs, openRequests, stopWithinMs: 8_000 }), expected);
    });
  }
});
