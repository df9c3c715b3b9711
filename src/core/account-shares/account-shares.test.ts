import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createMemoryLogger } from '../../testing';
import { createAccountShares } from '.';
import type { AccountSharesOptions, DemandOutcome } from '.';
import { admittedShares } from './admitted-shares';
import { parseDemandReport, serializeDemandReport } from './demand-message';
import { fairShare } from './fair-share';
import type { DemandReport } from './types';

/** Guards against a share that admits more than the capacity, or leaves capacity unused while accounts are limited. */
describe('the max-min fair share', () => {
  const cases = [
    { name: 'none without demand', costs: [], capacity: 10, share: Infinity },
    { name: 'unlimited if the capacity suffices', costs: [1, 2, 3], capacity: 6, share: Infinity },
    { name: 'equal parts of equal demands', costs: [4, 4, 4], capacity: 6, share: 2 },
    { name: 'what small demands leave', costs: [1, 2, 10, 10], capacity: 13, share: 5 },
    { name: 'all that others do not ask for', costs: [1, 1, 100], capacity: 50, share: 48 },
    { name: 'that of one account', costs: [9], capacity: 4, share: 4 },
    { name: 'nothing without capacity', costs: [1, 2], capacity: 0, share: 0 },
    { name: 'found through several levels', costs: [1, 2, 4, 8, 16], capacity: 19, share: 6 },
  ];
  for (const { name, costs, capacity, share } of cases) {
    it(`is ${name}`, () => {
      const demands = costs.map((cost) => ({ cost, count: 1 }));
      assert.equal(fairShare(demands, capacity), share);
    });
  }

  // If the accounts that reports do not list counted as one account, thousands of small ones would get one share.
  it('applies to each of several accounts that are known by their sum', () => {
    const demands = [
      { cost: 20, count: 1 },
      { cost: 10, count: 10 },
    ];
    assert.equal(fairShare(demands, 18), 8);
  });

  it('admits exactly the capacity for random demands', () => {
    for (let seed = 1; seed <= 200; seed += 1) {
      const costs = Array.from({ length: 50 }, (_unused, index) => ((index * seed) % 97) ** 2);
      const sum = costs.reduce((left, right) => left + right, 0);
      const share = fairShare(
        costs.map((cost) => ({ cost, count: 1 })),
        sum / 2,
      );
      const admitted = costs.reduce((left, cost) => left + Math.min(cost, share), 0);
      assert.ok(Math.abs(admitted - sum / 2) <= 1e-6 * sum, `seed ${seed}`);
    }
  });
});

describe('the admitted shares of accounts', () => {
  // An account that sends one large prompt has a high rate for a moment. It would never be served.
  it('do not limit an account because of a single request', () => {
    const rates = new Map([
      ['single', { cost: 100, variance: 100 ** 2 }],
      ['steady', { cost: 100, variance: 100 }],
    ]);
    const shares = admittedShares({ rates, rest: { cost: 0, count: 0 }, capacityCost: 150 });
    assert.equal(shares.get('single'), undefined);
    assert.ok(Math.abs((shares.get('steady') ?? 1) - 0.5) < 0.01);
  });
});

const SERVICE = 'chat';
const REPORT: DemandReport = {
  from: 'other',
  incarnation: 1,
  sequence: 1,
  service: SERVICE,
  accounts: [{ account: 'large', cost: 90_000, variance: 9_000_000 }],
  rest: { count: 0, cost: 0 },
  admittedCost: 10_000,
  refusedCost: 80_000,
  capacityCost: 10_000,
  sinceFullMs: 0,
};

function setUp(more: Partial<AccountSharesOptions> = {}) {
  const sent: string[] = [];
  const logger = createMemoryLogger();
  const shares = createAccountShares({
    selfId: 'self',
    logger,
    incarnation: 1,
    isEnabled: () => true,
    addresses: () => ['10.0.0.1:1', '10.0.0.2:1'],
    send: (_address, text) => sent.push(text),
    draw: () => 0.999,
    ...more,
  });
  /** Records 100 requests of an account in each second; by default, servers refuse every second one. */
  const load = (
    account: string,
    fromMs: number,
    toMs: number,
    outcomes: readonly DemandOutcome[] = ['admitted', 'refusedByServers'],
  ): void => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 10) {
      const outcome = outcomes[(nowMs / 10) % outcomes.length] ?? 'admitted';
      shares.record({ service: SERVICE, account, cost: 1_000, outcome }, nowMs);
    }
  };
  const admits = (account: string, nowMs: number) =>
    shares.admits({ service: SERVICE, account }, nowMs);
  return { shares, sent, load, admits, logger };
}

/** Guards against shares that limit accounts while servers have room, or that do not end when they have room again. */
describe('a service', () => {
  it('admits all and sends nothing while servers have room', () => {
    const { shares, sent, load, admits } = setUp();
    load('large', 0, 2_000, ['admitted']);
    shares.sendIfDue(2_000);
    assert.deepEqual(admits('large', 2_000), {
      isAdmitted: true,
      admittedShare: 1,
      maxWaitShare: 1,
    });
    assert.equal(shares.scarceCount(2_000), 0);
    assert.deepEqual(sent, []);
  });

  it('limits an account, and reports demand, while servers have no room', () => {
    const { shares, sent, load, admits } = setUp();
    load('large', 0, 2_000);
    assert.ok(!admits('large', 2_000).isAdmitted);
    assert.ok(admits('small', 2_000).isAdmitted);
    assert.deepEqual([shares.scarceCount(2_000), shares.overShareCount(2_000)], [1, 1]);
    shares.sendIfDue(2_000);
    shares.sendIfDue(2_050);
    assert.equal(sent.length, 2);
  });

  // Refusals by shares alone would otherwise keep the service scarce for ever, while servers idle.
  it('is not scarce because of refusals by shares, or of those that say nothing about load', () => {
    const { shares, load, admits, logger } = setUp();
    load('large', 0, 2_000);
    assert.equal(shares.scarceCount(2_000), 1);
    load('large', 2_000, 7_000, ['admitted', 'refusedByShare', 'refusedOtherwise']);
    assert.equal(shares.scarceCount(7_000), 0);
    assert.ok(admits('large', 7_000).isAdmitted);
    assert.deepEqual(
      logger.lines.map(({ definition, fields }) => [definition.name, fields.service]),
      [
        ['service-scarce', SERVICE],
        ['service-no-longer-scarce', SERVICE],
      ],
    );
  });

  // Reports of instances that have seen no refusal would otherwise keep the service scarce at one another.
  it('is not scarce because others only repeat what they were told', () => {
    const first = setUp();
    const second = setUp({ selfId: 'second' });
    first.load('large', 0, 1_000);
    for (let nowMs = 1_000; nowMs < 8_000; nowMs += 100) {
      first.load('large', nowMs, nowMs + 100, ['admitted']);
      second.load('large', nowMs, nowMs + 100, ['admitted']);
      first.shares.sendIfDue(nowMs);
      second.shares.sendIfDue(nowMs);
      for (const text of first.sent.splice(0)) second.shares.receive(text, nowMs);
      for (const text of second.sent.splice(0)) first.shares.receive(text, nowMs);
      if (nowMs === 2_000) assert.equal(second.shares.scarceCount(nowMs), 1);
    }
    assert.deepEqual([first.shares.scarceCount(8_000), second.shares.scarceCount(8_000)], [0, 0]);
  });

  it('admits all and records nothing while the part is turned off', () => {
    let isEnabled = true;
    const { shares, load, admits } = setUp({ isEnabled: () => isEnabled });
    load('large', 0, 2_000);
    isEnabled = false;
    assert.ok(admits('large', 2_000).isAdmitted);
    load('other', 2_000, 3_000);
    isEnabled = true;
    assert.equal(shares.overShareCount(10_000), 0);
  });

  // A request is refused in the end, after it was admitted. It must count once, as one that servers had no room for.
  it('becomes scarce when servers have no room for a request that was admitted', () => {
    const { shares, load } = setUp();
    load('large', 0, 1_000, ['admitted']);
    shares.recordLateRefusal({ service: SERVICE, account: 'large', cost: 1_000 }, 1_000);
    assert.equal(shares.scarceCount(1_000), 1);
  });
});

/** Guards against shares based on demand that is outdated, counted twice or malformed. */
describe('a report', () => {
  /** Returns the admitted share of the account at an instance that has seen little of it, after the reports. */
  const shareAfter = (reports: readonly { readonly atMs: number; readonly text: string }[]) => {
    const { shares, load, admits } = setUp();
    load('large', 0, 1_000, ['admitted']);
    for (const { atMs, text } of reports) shares.receive(text, atMs);
    return admits('large', 2_900).admittedShare;
  };
  const text = (more: Partial<DemandReport> = {}) => serializeDemandReport({ ...REPORT, ...more });
  const noDemand: Partial<DemandReport> = { accounts: [], sinceFullMs: 1e9 };

  it('makes the service scarce where no refusal was seen', () => {
    assert.ok(shareAfter([{ atMs: 2_500, text: text() }]) < 0.5);
  });

  const harmless = [
    { name: 'is expired', reports: [{ atMs: 800, text: text() }] },
    {
      name: 'was replaced by a newer one',
      reports: [
        { atMs: 2_000, text: text() },
        { atMs: 2_100, text: text({ ...noDemand, sequence: 2 }) },
      ],
    },
    {
      name: 'arrives after a newer one',
      reports: [
        { atMs: 2_000, text: text({ ...noDemand, sequence: 2 }) },
        { atMs: 2_100, text: text() },
      ],
    },
    {
      name: 'is of an earlier start of the sender',
      reports: [
        { atMs: 2_000, text: text({ ...noDemand, incarnation: 2 }) },
        { atMs: 2_100, text: text({ sequence: 9 }) },
      ],
    },
    { name: 'is its own', reports: [{ atMs: 2_500, text: text({ from: 'self' }) }] },
  ];
  for (const { name, reports } of harmless) {
    it(`changes nothing if it ${name}`, () => assert.equal(shareAfter(reports), 1));
  }

  it('counts once if it is repeated', () => {
    const once = shareAfter([{ atMs: 2_500, text: text() }]);
    const repeated = Array.from({ length: 20 }, () => ({ atMs: 2_500, text: text() }));
    assert.equal(shareAfter(repeated), once);
  });

  const valid = JSON.parse(text()) as Record<string, unknown>;
  const malformed = [
    '',
    '{',
    '[]',
    '{"kind":"accountDemand"}',
    JSON.stringify({ ...valid, from: '' }),
    JSON.stringify({ ...valid, admitted: -1 }),
    JSON.stringify({ ...valid, capacity: 1e300 }),
    JSON.stringify({ ...valid, sinceFullMs: null }),
    JSON.stringify({ ...valid, accounts: [['large', '5', 1]] }),
    JSON.stringify({ ...valid, accounts: Array.from({ length: 33 }, () => ['a', 1, 1]) }),
  ];
  for (const bad of malformed) {
    it(`is ignored if it is ${bad.slice(0, 30)}...`, () => {
      const { shares } = setUp();
      assert.equal(shares.receive(bad, 0), false);
    });
  }

  it('is the same after serialization, and fits into a datagram with long names', () => {
    assert.deepEqual(parseDemandReport(text()), REPORT);
    const accounts = Array.from({ length: 32 }, (_unused, index) => ({
      account: `${'account'.repeat(20)}-${index}`,
      cost: 1_000,
      variance: 100,
    }));
    const long = serializeDemandReport({ ...REPORT, accounts });
    assert.ok(Buffer.byteLength(long) <= 1_400);
    const { accounts: listed = [], rest } = parseDemandReport(long) ?? {};
    assert.equal(listed.length + (rest?.count ?? 0), 32);
  });
});

/** Guards against memory and messages that grow with the accounts of a deployment. */
describe('18,000 accounts', () => {
  it('are reported by the 32 largest and a sum, and dropped when idle', () => {
    const { shares, sent } = setUp();
    for (let index = 0; index < 18_000; index += 1) {
      const cost = index === 17_000 ? 1e6 : 100;
      const outcome = index % 2 === 0 ? 'refusedByServers' : 'admitted';
      shares.record({ service: SERVICE, account: `account-${index}`, cost, outcome }, index / 10);
    }
    shares.sendIfDue(1_800);
    const report = parseDemandReport(sent[0] ?? '');
    assert.equal(report?.accounts[0]?.account, 'account-17000');
    assert.equal((report?.accounts.length ?? 0) + (report?.rest.count ?? 0), 18_000);
    assert.ok((report?.accounts.length ?? 99) <= 32);
    assert.ok(Buffer.byteLength(sent[0] ?? '') <= 1_400);
    for (let nowMs = 2_000; nowMs <= 20_000; nowMs += 1_000) shares.sendIfDue(nowMs);
    sent.length = 0;
    const outcome = 'refusedByServers';
    shares.record({ service: SERVICE, account: 'new', cost: 100, outcome }, 20_000);
    shares.sendIfDue(20_100);
    assert.equal(parseDemandReport(sent[0] ?? '')?.rest.count, 0);
  });
});
