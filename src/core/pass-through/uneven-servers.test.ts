import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServerSpeeds } from '../placement';
import type { ServerSpeeds } from '../placement';
import { inTimeShare, lateShare, simulateAdmission } from './testing/simulate-admission';
import type { AdmissionLoad, Arrival } from './testing/simulate-admission';

type CreateSpeeds = AdmissionLoad['createServerSpeeds'];

const WITH = () => createServerSpeeds();
const WITHOUT = undefined;

/** Speeds of every other server, as multiples of the usual one. */
const SLOW = 0.55;
const FAST = 1.2;
const isSlow = (server: number) => server % 2 === 0;
const slowdownOf = (server: number) => 1 / (isSlow(server) ? SLOW : FAST);

function simulateUneven(fleet: Omit<AdmissionLoad, 'seed' | 'durationMs'>, create: CreateSpeeds) {
  const arrivals = [1, 2].flatMap((seed) =>
    simulateAdmission({
      ...fleet,
      seed,
      durationMs: 40_000,
      slowdownOf,
      statedSlowdownOf: slowdownOf,
      ...(create === undefined ? {} : { createServerSpeeds: create }),
    }),
  );
  const served = (atSlow: boolean): readonly Arrival[] =>
    arrivals.filter(({ server }) => server !== undefined && isSlow(server) === atSlow);
  const work = (atSlow: boolean) => served(atSlow).reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    /** Work of the slow servers in proportion to their speed, relative to that of the fast ones. */
    proportion: work(true) / SLOW / (work(false) / FAST),
    lateAtSlow: lateShare(served(true)),
    lateAtFast: lateShare(served(false)),
    inTime: inTimeShare(arrivals),
  };
}

/**
 * Guards against sending slow servers as many requests as fast ones. Their requests are then late, while fast servers
 * would have had them in time.
 */
describe('servers of which half are twice as fast as the others', () => {
  const fleets = [
    { instances: 1, servers: 8, perSecond: 30 },
    { instances: 6, servers: 8, perSecond: 30 },
    { instances: 20, servers: 20, perSecond: 75 },
  ];
  for (const fleet of fleets) {
    const name = `at ${fleet.instances} instances and ${fleet.servers} servers`;
    const [withFactors, without] = [simulateUneven(fleet, WITH), simulateUneven(fleet, WITHOUT)];
    it(`have more requests in time than without factors ${name}`, () =>
      assert.ok(
        withFactors.inTime > without.inTime,
        `${withFactors.inTime}, not ${without.inTime}`,
      ));
    it(`have fewer late requests at slow servers than without factors ${name}`, () =>
      assert.ok(
        withFactors.lateAtSlow < without.lateAtSlow,
        `${withFactors.lateAtSlow}, not ${without.lateAtSlow}`,
      ));
    // The target of the operators.
    it(`get work in proportion to their speed within a tenth ${name}`, () =>
      assert.ok(Math.abs(withFactors.proportion - 1) <= 0.1, `${withFactors.proportion}`));
    // The target of the operators, with a hundredth for chance: about a thousand requests are counted.
    it(`have requests late at slow ones no more often than at fast ones ${name}`, () =>
      assert.ok(
        withFactors.lateAtSlow <= withFactors.lateAtFast + 0.01,
        `${withFactors.lateAtSlow} and ${withFactors.lateAtFast}`,
      ));
  }
});

const PULSE_EVERY_MS = 2_500;
const PULSE_MS = 600;
const pulseAt = (server: number, nowMs: number) =>
  server === 0 && nowMs % PULSE_EVERY_MS < PULSE_MS ? 2.5 : 1;
const WEIGHTS = [1.2, 1.4, 1.6, 2, 2.5];

/** Returns speeds with a constant factor for the first server. */
const withWeight = (weight: number) => (): ServerSpeeds => ({
  recordFirstByte() {},
  recordStatedSlowdown() {},
  factor: (incarnationId) => (incarnationId.split('@')[0] === 'n-1' ? weight : 1),
  keepOnly() {},
});

function notInTimeWithPulses(instances: number, create: CreateSpeeds): number {
  const arrivals = [1, 2, 3, 4, 5, 6].flatMap((seed) =>
    [10, 14, 18].flatMap((perSecond) =>
      simulateAdmission({
        seed,
        perSecond,
        instances,
        servers: 4,
        durationMs: 60_000,
        slowdownOf: pulseAt,
        statedSlowdownOf: pulseAt,
        ...(create === undefined ? {} : { createServerSpeeds: create }),
      }),
    ),
  );
  return 1 - inTimeShare(arrivals);
}

/**
 * Guards against factors that follow a machine too late: they avoid it when it is as usual again, and send requests
 * there when it is slow.
 */
describe('a machine that takes 2.5 times as long for 0.6 s now and then', () => {
  for (const instances of [1, 6]) {
    const notInTime = notInTimeWithPulses(instances, WITH);
    it(`has fewer requests late or refused than without factors, at ${instances} instances`, () => {
      const without = notInTimeWithPulses(instances, WITHOUT);
      assert.ok(notInTime < without, `${notInTime}, not ${without}`);
    });
    it(`has at most as many late or refused as with the best fixed weight, at ${instances} instances`, () => {
      const best = Math.min(
        ...WEIGHTS.map((weight) => notInTimeWithPulses(instances, withWeight(weight))),
      );
      assert.ok(notInTime <= best, `${notInTime}, not ${best}`);
    });
  }
});

/** Guards against choices that follow chance: a shared prompt part would be computed by more servers. */
describe('servers of equal speed', () => {
  const fleets = [1, 6].flatMap((instances) =>
    [4, 14, 20, 30].map((perSecond) => ({ instances, perSecond })),
  );
  for (const { instances, perSecond } of fleets) {
    it(`are chosen as without factors, at ${instances} instances and ${perSecond} a second`, () => {
      const load = { seed: 1, instances, perSecond, servers: 4, durationMs: 40_000 };
      const stated = { ...load, statedSlowdownOf: () => 1, createServerSpeeds: WITH };
      assert.deepEqual(simulateAdmission(stated), simulateAdmission(load));
    });
  }

  it('are chosen as without factors if they do not state their speed, even if they are uneven', () => {
    const load = {
      seed: 1,
      instances: 1,
      perSecond: 30,
      servers: 8,
      durationMs: 40_000,
      slowdownOf,
    };
    const withSpeeds = { ...load, createServerSpeeds: WITH };
    assert.deepEqual(simulateAdmission(withSpeeds), simulateAdmission(load));
  });
});
