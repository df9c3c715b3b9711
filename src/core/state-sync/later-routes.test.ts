import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRouteTableStore } from '../host-routes';
import { createLaterRoutes } from './later-routes';

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const LOOK_EVERY_MS = 500;

/** Looks so often, with a version in force here and a later one elsewhere each time, and counts the calls. */
async function callsWith(
  versions: readonly { readonly here: number; readonly elsewhere: number }[],
) {
  let nowMs = 0;
  let latest = 0;
  let calls = 0;
  const routes = createRouteTableStore();
  const later = createLaterRoutes({
    clock: { monotonicMs: () => nowMs },
    routes,
    latestElsewhere: () => latest,
    async askPeer() {
      calls += 1;
      return undefined;
    },
    take() {},
  });
  for (const { here, elsewhere } of versions) {
    routes.offer({
      version: here,
      routes: [],
      services: new Map(),
      limits: LIMITS,
      accounts: undefined,
    });
    latest = elsewhere;
    later.look();
    await Promise.resolve();
    await Promise.resolve();
    nowMs += LOOK_EVERY_MS;
  }
  return calls;
}

const times = (count: number, at: (index: number) => { here: number; elsewhere: number }) =>
  Array.from({ length: count }, (_, index) => at(index));

/** Guards against an instance that stays behind its neighbours, and against one that asks all the time. */
describe('another instance', () => {
  const cases = [
    {
      name: 'is not asked where it has nothing later',
      versions: times(10, () => ({ here: 5, elsewhere: 5 })),
      calls: 0,
    },
    {
      name: 'is not asked for what comes within a second',
      versions: times(3, () => ({ here: 4, elsewhere: 5 })),
      calls: 0,
    },
    {
      name: 'is asked for what does not come',
      versions: times(5, () => ({ here: 4, elsewhere: 5 })),
      calls: 2,
    },
    {
      name: 'is not asked in a series of versions that come one after the other',
      versions: times(20, (index) => ({ here: index + 1, elsewhere: index + 2 })),
      calls: 0,
    },
  ];
  for (const { name, versions, calls } of cases) {
    it(name, async () => {
      assert.equal(await callsWith(versions), calls);
    });
  }
});
