import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createColdGate, createRetryAllowance } from './index';

const BUDGET = { ratio: 0.2, slack: 56, windowMs: 10_000 };
const INSTANCES = 8;

// Every server of a service begins to fail. Each request is worth repeating to whoever sent it, and all repeats
// together would be a second full load on servers that are failing already.
describe('repeats over all instances', () => {
  const cases = [
    { name: 'under light traffic', requestsPerTick: 1 },
    { name: 'under heavy traffic', requestsPerTick: 20 },
  ];
  for (const { name, requestsPerTick } of cases) {
    it(`stay within the budget of each window, ${name}, wherever it begins`, () => {
      const allowances = Array.from({ length: INSTANCES }, () =>
        createRetryAllowance(
          () => BUDGET,
          () => INSTANCES,
        ),
      );
      const tickMs = 100;
      const ticks = 600;
      const repeats: number[] = [];
      const requests: number[] = [];
      for (let tick = 0; tick < ticks; tick += 1) {
        let taken = 0;
        for (const allowance of allowances) {
          for (let count = 0; count < requestsPerTick; count += 1) {
            allowance.noteRequest('app', tick * tickMs);
            if (allowance.take('app', tick * tickMs)) taken += 1;
          }
        }
        repeats.push(taken);
        requests.push(requestsPerTick * INSTANCES);
      }
      const sum = (numbers: readonly number[]) => numbers.reduce((total, one) => total + one, 0);
      const length = BUDGET.windowMs / tickMs;
      for (let start = 0; start + length <= ticks; start += 1) {
        const allowed = BUDGET.ratio * sum(requests.slice(start, start + length)) + BUDGET.slack;
        assert.ok(sum(repeats.slice(start, start + length)) <= allowed, `window at ${start}`);
      }
      assert.ok(sum(repeats) > 0);
    });
  }

  it('are not stopped by a long rest before', () => {
    const allowance = createRetryAllowance(
      () => BUDGET,
      () => 1,
    );
    allowance.noteRequest('app', 0);
    assert.equal(allowance.take('app', 500_000), true);
  });
});

// A server comes back empty into full load. Every instance takes the idle server for the best one.
describe('a cold server', () => {
  const ids = ['a-1', 'a-2', 'a-3'];
  const rate = 2.2;

  function sentInEachSecond(views: readonly (readonly string[])[]): readonly number[] {
    const gates = ids.map((id, index) => createColdGate(id, () => views[index] ?? []));
    const sent: number[] = [];
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      for (const gate of gates) {
        if (!gate.isOpen('s-1', rate, nowMs)) continue;
        gate.noteSent('s-1', nowMs);
        sent.push(nowMs);
      }
    }
    return sent.map((from) => sent.filter((at) => at >= from && at < from + 1_000).length);
  }

  it('gets no more from all instances together than it bears', () => {
    const most = Math.max(...sentInEachSecond([ids, ids, ids]));
    assert.ok(most <= Math.ceil(rate), `${most} in a second`);
    assert.ok(most > 0);
  });

  it('gets at most twice that while two instances do not know of one another', () => {
    const apart = [ids, ['a-2'], ids];
    const most = Math.max(...sentInEachSecond(apart));
    assert.ok(most <= 2 * Math.ceil(rate), `${most} in a second`);
  });
});
