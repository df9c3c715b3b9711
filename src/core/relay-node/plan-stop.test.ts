import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { planStop } from './plan-stop';

// After the platform signals an instance to stop, callers keep sending for some seconds until they learn of it. Those
// requests must be answered, and no open request may be cut off before the process is about to be killed.
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
