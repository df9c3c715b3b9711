import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MEAN_COST, simulateShares } from './testing/simulate-shares';
import type { ShareLoad, SimulatedAccount } from './testing/simulate-shares';

const SEEDS = [1, 2, 3];
/** Usual request rate of each account. */
const USUAL_PER_SECOND = 6;
const CAPACITY_PER_SECOND = 12 * USUAL_PER_SECOND * MEAN_COST;
const DURATION_MS = 30_000;
/** The large account begins at full load. Its queues must first become full before anything is scarce. */
const SETTLED_AFTER_MS = 3_000;

function accountsAt(perSecond: (nowMs: number) => number): readonly SimulatedAccount[] {
  return Array.from({ length: 10 }, (_unused, index) => ({ name: `usual-${index}`, perSecond }));
}
const OTHERS = accountsAt(() => USUAL_PER_SECOND);
const LARGE: SimulatedAccount = { name: 'large', perSecond: () => 7 * USUAL_PER_SECOND };

/** Returns what the others get while one account sends a lot, relative to what they get without it. */
function othersGet(more: Partial<ShareLoad>, large = LARGE): number {
  let admitted = 0;
  let without = 0;
  for (const seed of SEEDS) {
    const load: ShareLoad = {
      seed,
      instances: 6,
      accounts: OTHERS,
      capacityPerSecond: CAPACITY_PER_SECOND,
      durationMs: DURATION_MS,
      ...more,
    };
    const alone = simulateShares(load);
    const run = simulateShares({ ...load, accounts: [...OTHERS, large] });
    for (const { name } of OTHERS) {
      admitted += run.costs(name, SETTLED_AFTER_MS).admitted;
      without += alone.costs(name, SETTLED_AFTER_MS).admitted;
    }
  }
  return admitted / without;
}

/** Requirement: the others get at least this share of what they get without the large account. */
const MIN_SHARE = 0.98;

/**
 * One account sends seven times its usual, and the servers are full. Without shares, every account is refused alike,
 * so that callers of accounts that did nothing unusual lose a quarter of their requests.
 */
describe('an account that sends seven times its usual', () => {
  it('takes a quarter from the others without shares', () => {
    assert.ok(othersGet({ isEnabled: false }) < 0.8);
  });

  const cases: readonly (Partial<ShareLoad> & { readonly name: string })[] = [
    { name: '1 instance', instances: 1 },
    { name: '6 instances', instances: 6 },
    { name: '30 instances', instances: 30 },
    { name: '6 instances and a report each 2 s', instances: 6, reportIntervalMs: 2_000 },
    { name: '30 instances and a report each 2 s', instances: 30, reportIntervalMs: 2_000 },
    {
      name: '6 instances, a report each 2 s and half of them lost',
      instances: 6,
      reportIntervalMs: 2_000,
      lostShare: 0.5,
    },
    { name: '6 instances and all reports lost', instances: 6, lostShare: 1 },
    { name: '30 instances, one of which hears nobody', instances: 30, instanceWithoutReports: 3 },
    { name: '30 instances and callers that return', instances: 30, hasRetries: true },
  ];
  for (const { name, ...load } of cases) {
    it(`leaves the others what they ask for, with ${name}`, () => {
      const share = othersGet(load);
      assert.ok(share >= MIN_SHARE, `the others get ${share}`);
    });
  }

  // The instance that gets all its requests is the only one that sees its demand.
  it('leaves the others what they ask for, even if it uses one instance only', () => {
    const share = othersGet({ instances: 6 }, { ...LARGE, onlyInstance: 0 });
    assert.ok(share >= MIN_SHARE, `the others get ${share}`);
  });

  // 30 instances without any report see about one request a second of each account, too few to tell them apart soon.
  it('leaves the others what they ask for, with 30 instances and all reports lost', () => {
    const share = othersGet({ instances: 30, lostShare: 1 });
    assert.ok(share >= MIN_SHARE, `the others get ${share}`);
  });

  // The fair share of the large account is then hardly more than what each of the others asks for.
  it('leaves the others what they ask for, if that is nearly all of the capacity', () => {
    const share = othersGet({ capacityPerSecond: 10.5 * USUAL_PER_SECOND * MEAN_COST });
    assert.ok(share >= MIN_SHARE, `the others get ${share}`);
  });
});

/** Guards against refusals by shares that leave capacity unused, or that continue after the demand has fallen. */
describe('an account that asks for more than its share', () => {
  // Capacity that is kept for accounts that no longer ask for it is lost to everybody. Among 30 instances, reports are
  // up to 725 ms old, so that it takes somewhat longer there.
  const stops = [
    { instances: 1, minSecondSecond: 0.85 },
    { instances: 6, minSecondSecond: 0.85 },
    { instances: 30, minSecondSecond: 0.7 },
  ];
  for (const { instances, minSecondSecond } of stops) {
    it(`gets what the others leave after they stop, with ${instances} instances`, () => {
      const stopAtMs = 10_000;
      const others = accountsAt((nowMs) => (nowMs < stopAtMs ? USUAL_PER_SECOND : 0));
      const large = { name: 'large', perSecond: () => 16 * USUAL_PER_SECOND };
      const runs = SEEDS.map((seed) =>
        simulateShares({
          seed,
          instances,
          accounts: [...others, large],
          capacityPerSecond: CAPACITY_PER_SECOND,
          durationMs: 16_000,
        }),
      );
      const mean = (fromMs: number, toMs: number) =>
        runs.reduce((sum, run) => sum + run.utilization(stopAtMs + fromMs, stopAtMs + toMs), 0) /
        runs.length;
      const secondSecond = mean(1_000, 2_000);
      const afterwards = mean(2_000, 6_000);
      const detail = `${secondSecond} in the second second, then ${afterwards}`;
      assert.ok(secondSecond >= minSecondSecond && afterwards >= 0.97, detail);
    });
  }

  it('leaves no capacity unused', () => {
    const run = simulateShares({
      seed: 1,
      instances: 6,
      accounts: [...OTHERS, LARGE],
      capacityPerSecond: CAPACITY_PER_SECOND,
      durationMs: DURATION_MS,
    });
    assert.ok(run.utilization(SETTLED_AFTER_MS, DURATION_MS) >= 0.97);
  });

  // Requests that are refused by shares alone are no sign of full servers. Otherwise the refusals would never end.
  it('is no longer refused once the demand is below the capacity', () => {
    const endsAtMs = 10_000;
    const large = {
      name: 'large',
      perSecond: (nowMs: number) => (nowMs < endsAtMs ? 7 : 1) * USUAL_PER_SECOND,
    };
    const run = simulateShares({
      seed: 1,
      instances: 6,
      accounts: [...OTHERS, large],
      capacityPerSecond: CAPACITY_PER_SECOND,
      durationMs: 25_000,
      hasRetries: true,
    });
    const lastMs = run.lastShareRefusalMs ?? 0;
    assert.ok(lastMs > 5_000 && lastMs < endsAtMs + 4_000, `last refusal at ${lastMs} ms`);
  });

  it('causes no message and no refusal by shares while servers have room', () => {
    const run = simulateShares({
      seed: 1,
      instances: 6,
      accounts: [...OTHERS, LARGE],
      capacityPerSecond: 3 * CAPACITY_PER_SECOND,
      durationMs: DURATION_MS,
    });
    assert.equal(run.messages, 0);
    assert.equal(run.lastShareRefusalMs, undefined);
  });
});
