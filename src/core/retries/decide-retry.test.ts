import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { resilienceSchema } from '../configuration';
import { createSeededRandom } from '../random';
import { REFUSALS } from '../refusals';
import { decideRetry } from './decide-retry';
import { createRetryBudget } from './retry-budget';
import type { FailedAttempt, RetryDecision } from './types';

const OPTIONS = resilienceSchema.parse({}).retries;
const LOST = { kind: 'lostAfterSending', cause: 'reset' } as const;
const NEVER_SENT = { kind: 'neverSent' } as const;

const BASE: FailedAttempt = {
  tries: 1,
  triesThatMayHaveRun: 1,
  refusal: REFUSALS.serverFailed,
  evidence: LOST,
  isRepeatable: true,
  headSent: false,
  callerGone: false,
  isForwarded: false,
  nowMs: 1_000,
  deadlineAtMs: 60_000,
};

const decide = (change: Partial<FailedAttempt>, hasBudget = true): RetryDecision =>
  decideRetry({ ...BASE, ...change }, OPTIONS, createSeededRandom(1), () => hasBudget);

describe('a failed attempt', () => {
  const refused = { kind: 'refusedByPeer', vouches: true } as const;
  const giveUps: {
    when: string;
    change: Partial<FailedAttempt>;
    reason: string;
    budget?: boolean;
  }[] = [
    { when: 'part of an answer was sent', change: { headSent: true }, reason: 'head sent' },
    { when: 'the caller has disconnected', change: { callerGone: true }, reason: 'caller gone' },
    { when: 'a peer forwarded it', change: { isForwarded: true }, reason: 'forwarded' },
    { when: 'it is not repeatable', change: { isRepeatable: false }, reason: 'not repeatable' },
    {
      when: 'two attempts may have run',
      change: { tries: 2, triesThatMayHaveRun: 2 },
      reason: 'may have run twice',
    },
    { when: 'all attempts are used up', change: { tries: 3 }, reason: 'tries used up' },
    {
      when: 'the deadline is too near',
      change: { deadlineAtMs: 1_005 },
      reason: 'deadline too near',
    },
    { when: 'the budget is empty', change: {}, budget: false, reason: 'budget empty' },
    {
      when: 'this instance itself had no capacity',
      change: { refusal: REFUSALS.overloaded, evidence: NEVER_SENT },
      reason: 'refusal is final',
    },
    {
      when: 'the data must not be sent to the peer',
      change: { refusal: REFUSALS.regionNotAllowed, evidence: refused },
      reason: 'refusal is final',
    },
  ];
  for (const { when, change, reason, budget } of giveUps) {
    it(`is not retried when ${when}`, () => {
      assert.deepEqual(decide(change, budget), { kind: 'giveUp', reason });
    });
  }

  const atOnce: { when: string; change: Partial<FailedAttempt> }[] = [
    { when: 'no connection was made', change: { evidence: NEVER_SENT } },
    {
      when: 'a peer was full',
      change: { refusal: REFUSALS.overloaded, evidence: refused },
    },
    {
      when: 'the server confirmed that nothing ran',
      change: { evidence: { kind: 'refusedByServer', declaredNotRun: true } },
    },
  ];
  for (const { when, change } of atOnce) {
    it(`is retried elsewhere at once when ${when}`, () => {
      assert.deepEqual(decide(change), { kind: 'retry', atMs: 1_000, reason: 'did not run' });
    });
  }

  // A server crashes with many open requests. If all of them were retried at the same instant, the remaining
  // servers would receive its whole load as one burst, and callers would see a second outage.
  it('spreads requests interrupted by one crash over an exponential backoff', () => {
    const random = createSeededRandom(7);
    const delaysMs = (tries: number) =>
      Array.from({ length: 200 }, () => {
        const decision = decideRetry({ ...BASE, tries }, OPTIONS, random, () => true);
        return decision.kind === 'retry' ? decision.atMs - BASE.nowMs : Number.NaN;
      });
    const first = delaysMs(1);
    const second = delaysMs(2);
    assert.ok(Math.max(...first) <= OPTIONS.backoffBaseMs);
    assert.ok(new Set(first).size > 150);
    assert.ok(Math.max(...second) > OPTIONS.backoffBaseMs);
    assert.ok(Math.max(...second) <= 2 * OPTIONS.backoffBaseMs);
  });
});

describe('a retry budget', () => {
  // Every server of a service is down for minutes while callers keep sending. Each retry would add load that
  // delays the recovery, and the gateway itself would keep the service down.
  it('is spent only once in a total outage, however many requests fail', () => {
    const budget = createRetryBudget(() => OPTIONS);
    const retries = Array.from({ length: 5_000 }, () => budget.tryTake('orders')).filter(Boolean);
    assert.equal(retries.length, OPTIONS.reserveTries);
  });

  it('is replenished by answers up to its reserve, separately for each service', () => {
    const budget = createRetryBudget(() => OPTIONS);
    while (budget.tryTake('orders'));
    for (let answer = 0; answer < 10; answer += 1) budget.answered('orders');
    assert.equal(budget.tryTake('orders'), true);
    assert.equal(budget.tryTake('orders'), false);
    assert.equal(budget.tryTake('stock'), true);
  });
});
