import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bySize, playAdmission, shareInTime, shareLetIn } from './testing/play-admission';

const DURATION_MS = 30_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Share of the whole that its largest tenth, and the fifth below it, have to be served at: the operator's least. */
const LEAST_OF_THE_WHOLE = 0.5;

/** Guards against sizes that are learned by each instance alone, from more requests than it sees between two starts. */
describe('the largest prompts, asked of many instances that are started anew', () => {
  const fleets = [
    { name: '20 instances, 15 requests each a start', instances: 20, servers: 22, perSecond: 30 },
    { name: '40 instances, 15 requests each a start', instances: 40, servers: 40, perSecond: 60 },
    { name: '62 instances, 7 requests each a start', instances: 62, servers: 22, perSecond: 40 },
  ];
  for (const { name, ...fleet } of fleets) {
    for (const seed of SEEDS) {
      it(`are let in at least half as often as all at ${name} (seed ${seed})`, () => {
        const restartEveryMs = 10_000;
        const load = { ...fleet, seed, durationMs: DURATION_MS, restartEveryMs };
        const arrivals = playAdmission(load);
        const all = shareLetIn(arrivals);
        const { largestTenth, fifthBelow } = bySize(arrivals);
        for (const share of [largestTenth, fifthBelow].map(shareLetIn)) {
          assert.ok(share >= all * LEAST_OF_THE_WHOLE, `${share} of a class, ${all} of all`);
        }
      });
    }
  }
});

/** Share of what few instances serve that many have to serve before the same servers: the operator's least. */
const LEAST_OF_FEW = 0.7;

/** Guards against instances that all find the same server best, since all know the same. */
describe('prompts at servers that bear them', () => {
  const loads = [
    { servers: 8, perSecond: 20 },
    { servers: 22, perSecond: 60 },
    { servers: 40, perSecond: 100 },
  ];
  for (const { servers, perSecond } of loads) {
    for (const seed of SEEDS) {
      it(`are answered in time by 62 instances as by one, at ${servers} servers (seed ${seed})`, () => {
        const load = { seed, servers, perSecond, durationMs: DURATION_MS };
        const byOne = shareInTime(playAdmission({ ...load, instances: 1 }));
        const byMany = shareInTime(playAdmission({ ...load, instances: 62 }));
        assert.ok(byMany >= byOne * LEAST_OF_FEW, `${byMany} by 62, ${byOne} by one`);
      });
    }
  }
});
