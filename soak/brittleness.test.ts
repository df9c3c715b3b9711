import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkFalls } from './brittleness';

const SERVERS = 6;
const TIME = { fromMs: 0, toMs: 10_000 };

// Guards against a check of falls that passes whatever servers reject.
describe('falls of brittle servers in a soak', () => {
  const cases = [
    { name: 'as many as are allowed', falls: [2, 2], broken: 0 },
    { name: 'one more, in one of two times', falls: [3, 0], broken: 1 },
  ];
  for (const { name, falls, broken } of cases) {
    it(`finds ${broken} broken: ${name}`, () => {
      const times = falls.map((count) => ({ ...TIME, falls: count }));
      assert.equal(checkFalls(times, SERVERS).length, broken);
    });
  }
});
