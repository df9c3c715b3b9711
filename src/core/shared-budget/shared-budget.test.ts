import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createColdServerLimiter, createRetryAllowance } from '.';

const BUDGET = { ratio: 0.2, slack: 56, windowMs: 10_000 };
const INSTANCES = 8;

// Every server of a service starts to fail. Each single request is worth a retry, but all retries together would add a
// second full load to servers that already fail.
describe('retries of all instances', () => {
  const cases = [
    { name: 'under light traffic', requestsPerTick: 1 },
    { name: 'under heavy traffic', requestsPerTick: 20 },
  ];
  for (const { name, requestsPerTick } of cases) {
    it(`stay within the budget of any window, ${name}`, () => {
      const allowances = Array.from({ length: INSTANCES }, () =>
        createRetryAllowance(
          () => BUDGET,
          () => INSTANCES,
        ),
      );
      const tickMs = 100;
      const ticks = 600;
      const retries: number[] = [];
      const requests: number[] = [];
      for (let tick = 0; tick < ticks; tick += 1) {
        let taken = 0;
        for (const allowance of allowances) {
          for (let count = 0; count < requestsPerTick; count += 1) {
            allowance.recordRequest('app', tick * tickMs);
            if (allowance.take('app', tick * tickMs)) taken += 1;
          }
        }
        retries.push(taken);
        requests.push(requestsPerTick * INSTANCES);
      }
      const sum = (numbers: readonly number[]) => numbers.reduce((total, one) => total + one, 0);
      const length = BUDGET.windowMs / tickMs;
      for (let start = 0; start + length <= ticks; start += 1) {
        const allowed = BUDGET.ratio * sum(requests.slice(start, start + length)) + BUDGET.slack;
        assert.ok(sum(retries.slice(start, start + length)) <= allowed, `window at ${start}`);
      }
      assert.ok(sum(retries) > 0);
    });
  }

  it('are allowed after a long idle period', () => {
    const allowance = createRetryAllowance(
      () => BUDGET,
      () => 1,
    );
    allowance.recordRequest('app', 0);
    assert.equal(allowance.take('app', 500_000), true);
  });
});

// A server restarts with empty caches under full load. Every instance would select the idle server.
describe('a cold server', () => {
  const ids = ['a-1', 'a-2', 'a-3'];
  const ratePerSecond = 2.2;
  /** Requests in one second above which the server crashes. */
  const maxPerSecond = Math.floor(ratePerSecond * 1.5 + 3);

  /** Returns the maximum number of requests in any second if each instance knows the instances in its view. */
  function maxSentPerSecond(views: readonly (readonly string[])[], startedAtMs: number): number {
    const limiters = ids.map((selfId, index) =>
      createColdServerLimiter({ selfId, startedAtMs, instancesInRegion: () => views[index] ?? [] }),
    );
    const sent: number[] = [];
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      for (const limiter of limiters) {
        if (!limiter.maySend('s-1', ratePerSecond, nowMs)) continue;
        limiter.recordSent('s-1', nowMs);
        sent.push(nowMs);
      }
    }
    return Math.max(
      0,
      ...sent.map((from) => sent.filter((at) => at >= from && at < from + 1_000).length),
    );
  }

  it('gets requests at the rate that it can handle', () => {
    const maxSent = maxSentPerSecond([ids, ids, ids], -60_000);
    assert.ok(maxSent >= 1 && maxSent <= ratePerSecond, `${maxSent} in a second`);
  });

  // All machines of a region lose power and restart together while a server is cold. No instance knows another one yet,
  // and each considers itself the sender.
  it('gets no more than it can handle while no instance knows another', () => {
    const maxSent = maxSentPerSecond([['a-1'], ['a-2'], ['a-3']], -60_000);
    assert.ok(maxSent <= maxPerSecond, `${maxSent} in a second`);
  });

  it('gets no requests from a process that has just started', () => {
    const limiter = createColdServerLimiter({
      selfId: 'a-1',
      startedAtMs: 1_000,
      instancesInRegion: () => ['a-1'],
    });
    assert.equal(limiter.maySend('s-1', ratePerSecond, 3_900), false);
    assert.equal(limiter.maySend('s-1', ratePerSecond, 4_000), true);
  });
});
