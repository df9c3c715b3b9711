import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAttemptAccount } from './attempt-account';

describe('what another instance may try for a request', () => {
  const cases = [
    { most: 1, mayRepeat: true, lent: 1 },
    { most: 2, mayRepeat: true, lent: 1 },
    { most: 3, mayRepeat: true, lent: 2 },
    { most: 2, mayRepeat: false, lent: 2 },
  ];
  for (const { most, mayRepeat, lent } of cases) {
    const kind = mayRepeat ? 'may run again' : 'may run once';
    it(`is ${lent} of ${most} attempts where it ${kind}`, () => {
      assert.equal(createAttemptAccount(most, mayRepeat).lend(), lent);
    });
  }
});

describe('attempts that were lent', () => {
  // The other instance is lost together with its answer. Whether it had sent the request, and to how many servers, is
  // not to be known, and counting less would have it reach more servers than the route allows.
  const cases = [
    { name: 'come back where none was made', told: 0, used: 0, hasLeft: true },
    { name: 'come back as far as they were not made', told: 1, used: 1, hasLeft: true },
    { name: 'are used where nobody can tell', told: undefined, used: 2, hasLeft: false },
    { name: 'are used where all were made', told: 2, used: 2, hasLeft: false },
    { name: 'count as told where more were made than lent', told: 9, used: 9, hasLeft: false },
  ];
  for (const { name, told, used, hasLeft } of cases) {
    it(name, () => {
      const account = createAttemptAccount(2, false);
      account.lend();
      account.settle(told);
      assert.deepEqual({ used: account.used(), hasLeft: account.hasLeft() }, { used, hasLeft });
    });
  }

  it('are out while the request is there', () => {
    const account = createAttemptAccount(2, true);
    account.lend();
    assert.equal(account.used(), 1);
    assert.equal(account.hasLeft(), true);
    account.settle(1);
    account.take();
    assert.equal(account.hasLeft(), false);
  });
});
