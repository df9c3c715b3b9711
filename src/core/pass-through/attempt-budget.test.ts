import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAttemptBudget } from './attempt-budget';

describe('attempts reserved for a forwarded request', () => {
  const cases = [
    { most: 1, mayRepeat: true, reserved: 1 },
    { most: 2, mayRepeat: true, reserved: 1 },
    { most: 3, mayRepeat: true, reserved: 2 },
    { most: 2, mayRepeat: false, reserved: 2 },
  ];
  for (const { most, mayRepeat, reserved } of cases) {
    const kind = mayRepeat ? 'may run again' : 'may run once';
    it(`are ${reserved} of ${most} if the request ${kind}`, () => {
      assert.equal(createAttemptBudget(most, mayRepeat).reserveForPeer(), reserved);
    });
  }
});

describe('attempts reserved for another instance', () => {
  // If the other instance is lost together with its answer, it is unknown whether it had sent the
  // request, and to how many servers. Counting fewer would let the request reach more servers than
  // its route allows.
  const cases = [
    { name: 'are returned if none was made', reported: 0, used: 0, hasRemaining: true },
    { name: 'are returned as far as they were not made', reported: 1, used: 1, hasRemaining: true },
    {
      name: 'count as used if their number is unknown',
      reported: undefined,
      used: 2,
      hasRemaining: false,
    },
    { name: 'are used if all were made', reported: 2, used: 2, hasRemaining: false },
    {
      name: 'count as reported if more were made than reserved',
      reported: 9,
      used: 9,
      hasRemaining: false,
    },
  ];
  for (const { name, reported, used, hasRemaining } of cases) {
    it(name, () => {
      const budget = createAttemptBudget(2, false);
      budget.reserveForPeer();
      budget.settle(reported);
      assert.deepEqual(
        { used: budget.used(), hasRemaining: budget.hasRemaining() },
        { used, hasRemaining },
      );
    });
  }

  it('are unavailable while the request is there', () => {
    const budget = createAttemptBudget(2, true);
    budget.reserveForPeer();
    assert.equal(budget.used(), 1);
    assert.equal(budget.hasRemaining(), true);
    budget.settle(1);
    budget.reserveOne();
    assert.equal(budget.hasRemaining(), false);
  });
});
