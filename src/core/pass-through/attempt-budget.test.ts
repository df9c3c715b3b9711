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
      assert.equal(createAttemptBudget(most, mayRepeat).reserveForPeer().count, reserved);
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
      budget.reserveForPeer().settle(reported);
      assert.deepEqual(
        { used: budget.used(), hasRemaining: budget.hasRemaining() },
        { used, hasRemaining },
      );
    });
  }

  it('are unavailable while the request is there', () => {
    const budget = createAttemptBudget(2, true);
    const there = budget.reserveForPeer();
    assert.equal(budget.used(), 1);
    assert.equal(budget.hasRemaining(), true);
    there.settle(1);
    budget.reserveOne();
    assert.equal(budget.hasRemaining(), false);
  });

  // Two attempts may be in progress at once. If the end of one settled the other as well, the request could reach more
  // servers than its route allows.
  it('are settled one by one while two attempts are in progress', () => {
    const budget = createAttemptBudget(3, true);
    const there = budget.reserveForPeer();
    const here = budget.reserveOne();
    assert.deepEqual([there.count, here.count, budget.hasRemaining()], [2, 1, false]);
    here.settle(0);
    here.settle(0);
    assert.deepEqual([budget.used(), budget.hasRemaining()], [2, true]);
    there.settle(undefined);
    assert.equal(budget.used(), 2);
  });
});
