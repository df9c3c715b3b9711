import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteTableStore } from '../host-routes';
import { createRoutesCatchUp } from './routes-catch-up';

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const CHECK_INTERVAL_MS = 500;

/** Checks once for each pair of versions in force here and at a peer instance, and returns how often it is called. */
async function countPeerCalls(
  versions: readonly { readonly here: number; readonly peer: number }[],
) {
  let nowMs = 0;
  let latest = 0;
  let calls = 0;
  const routes = createRouteTableStore();
  const catchUp = createRoutesCatchUp({
    clock: { monotonicMs: () => nowMs },
    routes,
    latestPeerVersion: () => latest,
    async readPeerState() {
      calls += 1;
      return undefined;
    },
    applyRoutes() {},
  });
  for (const { here, peer } of versions) {
    routes.offer({
      version: here,
      routes: [],
      services: new Map(),
      limits: LIMITS,
      accounts: undefined,
    });
    latest = peer;
    catchUp.check();
    await Promise.resolve();
    await Promise.resolve();
    nowMs += CHECK_INTERVAL_MS;
  }
  return calls;
}

const repeat = (count: number, at: (index: number) => { here: number; peer: number }) =>
  Array.from({ length: count }, (_, index) => at(index));

/** Guards against an instance that stays behind the others, and against one that calls them all the time. */
describe('a peer instance', () => {
  const cases = [
    {
      name: 'is not called if it has no later version',
      versions: repeat(10, () => ({ here: 5, peer: 5 })),
      calls: 0,
    },
    {
      name: 'is not called for a version that arrives within a second',
      versions: repeat(3, () => ({ here: 4, peer: 5 })),
      calls: 0,
    },
    {
      name: 'is called for a version that does not arrive',
      versions: repeat(5, () => ({ here: 4, peer: 5 })),
      calls: 2,
    },
    {
      name: 'is not called during a series of versions that arrive one after the other',
      versions: repeat(20, (index) => ({ here: index + 1, peer: index + 2 })),
      calls: 0,
    },
  ];
  for (const { name, versions, calls } of cases) {
    it(name, async () => {
      assert.equal(await countPeerCalls(versions), calls);
    });
  }
});
