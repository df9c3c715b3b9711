import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EventLevel } from '../events';
import { createLogValve, decideLine } from '.';

const KIB = 1_024;

describe('a log line', () => {
  const cases: readonly (readonly [EventLevel, number, 'write' | 'drop'])[] = [
    ['info', 0, 'write'],
    ['info', 511 * KIB, 'write'],
    ['info', 512 * KIB, 'drop'],
    ['debug', 512 * KIB, 'drop'],
    ['warn', 512 * KIB, 'write'],
    ['error', 1_023 * KIB, 'write'],
    ['warn', 1_024 * KIB, 'drop'],
  ];
  for (const [level, waitingBytes, expected] of cases) {
    it(`of level ${level} has "${expected}" with ${waitingBytes / KIB} KiB unread`, () => {
      assert.equal(decideLine(level, waitingBytes), expected);
    });
  }
});

// The collector of logs stops reading while callers go on. Whoever looks for a failure afterwards has to find it, or
// at least learn that lines are missing.
describe('a reader that falls behind', () => {
  it('loses lines about what went well first, and is told how many once it has caught up', () => {
    let waitingBytes = 0;
    const valve = createLogValve(() => waitingBytes);
    assert.equal(valve.lets('info'), true);
    waitingBytes = 600 * KIB;
    for (let count = 0; count < 3; count += 1) assert.equal(valve.lets('info'), false);
    assert.equal(valve.lets('warn'), true);
    assert.equal(valve.takeAccount(), undefined);
    waitingBytes = 2_000 * KIB;
    assert.equal(valve.lets('error'), false);
    waitingBytes = 0;
    assert.deepEqual(valve.takeAccount(), { failures: 1, others: 3 });
    assert.equal(valve.takeAccount(), undefined);
  });
});
