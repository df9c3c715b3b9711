import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkBounds, readBounds, readEarlier } from './bounds';

describe('bounds on measured figures', () => {
  const bound = { bench: 'edge', figure: 'token', unit: 'µs', atMost: 10, why: 'a test' };
  const cases = [
    { name: 'a figure inside', value: 9, holds: true },
    { name: 'a figure outside', value: 11, holds: false },
    // A bench that stops printing a figure must not pass for one that meets its bound.
    { name: 'a figure that is missing', value: undefined, holds: false },
  ];
  for (const { name, value, holds } of cases) {
    it(`${holds ? 'hold for' : 'break on'} ${name}`, () => {
      const figures = value === undefined ? [] : [{ path: 'token', value }];
      const [result] = checkBounds('edge', figures, [bound], {});
      assert.equal(result?.holds, holds);
    });
  }

  it('are read from the checked-in files', () => {
    assert.ok(readBounds().length > 0);
    assert.equal(typeof readEarlier(), 'object');
  });
});
