import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkLimits, requestKey } from './server-limits';
import type { NamedLimitChange, ServerRun } from './types';

const SERVER = 's-1@1';
const NAMED: readonly NamedLimitChange[] = [
  { server: SERVER, atMs: 0, perSecond: 1 },
  { server: SERVER, atMs: 20_000, perSecond: undefined },
];

function runAt(atMs: number): ServerRun {
  return {
    requestId: `r-${atMs}`,
    serverId: 's-1',
    server: SERVER,
    atMs,
    account: undefined,
    sawKey: false,
  };
}

/** Guards against a check of limits that passes whatever servers get. */
describe('the check of limits in a soak', () => {
  const cases = [
    { name: 'as many requests as are allowed', count: 11, fromMs: 8_000, broken: 0 },
    { name: 'one request more', count: 12, fromMs: 8_000, broken: 1 },
    { name: 'more in the first seconds of a limit', count: 40, fromMs: 500, broken: 0 },
    { name: 'more after its end', count: 40, fromMs: 21_000, broken: 0 },
    {
      name: 'more by senders that do not know of it',
      count: 40,
      fromMs: 8_000,
      isUntold: true,
      broken: 0,
    },
  ];
  for (const { name, count, fromMs, isUntold, broken } of cases) {
    it(`${broken === 0 ? 'passes' : 'fails'} with ${name}`, () => {
      const runs = Array.from({ length: count }, (_unused, index) => runAt(fromMs + index * 50));
      const known = runs.map(({ requestId }) => [requestKey(requestId, SERVER), 0] as const);
      const knownSince = new Map(isUntold === true ? [] : known);
      assert.equal(checkLimits(runs, NAMED, knownSince).length, broken);
    });
  }
});
