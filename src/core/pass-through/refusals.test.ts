import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { retryAfterText } from './refusals';

// A caller that returns at the stated time must not be refused again because that time was rounded down.
describe('the time to return that a refusal states', () => {
  for (const [retryAfterMs, text] of [
    [0, '0.00'],
    [0.2, '0.01'],
    [1, '0.01'],
    [10, '0.01'],
    [11, '0.02'],
    [290, '0.29'],
    [700, '0.70'],
    [703.2, '0.71'],
    [704, '0.71'],
    [995, '1.00'],
    [15_001, '15.01'],
  ] as const) {
    it(`is ${text} s for ${retryAfterMs} ms`, () => {
      assert.equal(retryAfterText(retryAfterMs), text);
    });
  }
});
