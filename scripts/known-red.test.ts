import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { judgeKnownRed, parseKnownRed } from './known-red';

const LISTED = parseKnownRed(
  'one is red | npm test x, seed 3 | cause | issue 10\n\ntwo is red | npm test y | cause | issue 11\n',
);

describe('the tests that are known to fail', () => {
  it('are named first on their line', () => {
    assert.deepEqual(
      LISTED.map(({ test }) => test),
      ['one is red', 'two is red'],
    );
  });

  const cases = [
    {
      name: 'are passed over while they fail',
      failed: ['one is red', 'two is red'],
      passed: [],
      verdict: [2, 0, 0],
    },
    {
      name: 'count as mended when they pass',
      failed: ['one is red'],
      passed: ['two is red'],
      verdict: [1, 1, 0],
    },
    {
      name: 'are missed when they did not run',
      failed: ['one is red'],
      passed: ['other'],
      verdict: [1, 0, 1],
    },
  ];
  for (const { name, failed, passed, verdict } of cases) {
    it(name, () => {
      const judged = judgeKnownRed(LISTED, new Set(failed), new Set<string>(passed));
      const counts = [judged.stillRed, judged.passedAfterAll, judged.neverRan];
      assert.deepEqual(
        counts.map((list) => list.length),
        verdict,
      );
    });
  }
});
