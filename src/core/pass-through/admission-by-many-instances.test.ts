import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  admittedShare,
  splitBySize,
  inTimeShare,
  simulateAdmission,
} from './testing/simulate-admission';

const DURATION_MS = 30_000;
const SEEDS = [1, 2, 3, 4, 5, 6];

/**
 * Minimum admitted share of the largest tenth, and of the fifth below it, relative to that of all
 * requests. Required by the operator.
 */
const MIN_SHARE_OF_OVERALL = 0.5;

/**
 * Guards against an admission by size that each instance learns alone, from more requests than it
 * gets between two starts.
 */
describe('the largest prompts at many instances that are restarted', () => {
  const fleets = [
    { name: '20 instances, 15 requests each per start', instances: 20, servers: 22, perSecond: 30 },
    { name: '40 instances, 15 requests each per start', instances: 40, servers: 40, perSecond: 60 },
    { name: '62 instances, 7 requests each per start', instances: 62, servers: 22, perSecond: 40 },
  ];
  for (const { name, ...fleet } of fleets) {
    for (const seed of SEEDS) {
      it(`are admitted at least half as often as all requests at ${name} (seed ${seed})`, () => {
        const restartEveryMs = 10_000;
        const load = { ...fleet, seed, durationMs: DURATION_MS, restartEveryMs };
        const arrivals = simulateAdmission(load);
        const all = admittedShare(arrivals);
        const { largestTenth, fifthBelow } = splitBySize(arrivals);
        for (const share of [largestTenth, fifthBelow].map(admittedShare)) {
          assert.ok(share >= all * MIN_SHARE_OF_OVERALL, `${share} of a class, ${all} of all`);
        }
      });
    }
  }
});

/**
 * Minimum share answered in time by many instances, relative to that of one instance at the same
 * servers. Required by the operator.
 */
const MIN_SHARE_OF_SINGLE_INSTANCE = 0.7;

/**
 * Guards against all instances choosing the same server, because they all have the same
 * information.
 */
describe('prompts at servers that can handle them', () => {
  const loads = [
    { servers: 8, perSecond: 20 },
    { servers: 22, perSecond: 60 },
    { servers: 40, perSecond: 100 },
  ];
  for (const { servers, perSecond } of loads) {
    for (const seed of SEEDS) {
      it(`are answered in time by 62 instances nearly as often as by one, at ${servers} servers (seed ${seed})`, () => {
        const load = { seed, servers, perSecond, durationMs: DURATION_MS };
        const byOne = inTimeShare(simulateAdmission({ ...load, instances: 1 }));
        const byMany = inTimeShare(simulateAdmission({ ...load, instances: 62 }));
        assert.ok(
          byMany >= byOne * MIN_SHARE_OF_SINGLE_INSTANCE,
          `${byMany} by 62, ${byOne} by one`,
        );
      });
    }
  }
});
