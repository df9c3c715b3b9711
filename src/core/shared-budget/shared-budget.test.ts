import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createColdGate, createRetryAllowance } from '.';

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
  const ratePerSecond = 2.2;
  /** What a server bears in one second before it crashes. */
  const mostInASecond = Math.floor(ratePerSecond * 1.5 + 3);

  /** The most requests in any second while each instance knows those of its view. */
  function mostSent(views: readonly (readonly string[])[], startedAtMs: number): number {
    const gates = ids.map((selfId, index) =>
      createColdGate({ selfId, startedAtMs, instancesInRegion: () => views[index] ?? [] }),
    );
    const sent: number[] = [];
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      for (const gate of gates) {
        if (!gate.isOpen('s-1', ratePerSecond, nowMs)) continue;
        gate.noteSent('s-1', nowMs);
        sent.push(nowMs);
      }
    }
    return Math.max(
      0,
      ...sent.map((from) => sent.filter((at) => at >= from && at < from + 1_000).length),
    );
  }

  it('gets requests at the rate that it bears', () => {
    const most = mostSent([ids, ids, ids], -60_000);
    assert.ok(most >= 1 && most <= ratePerSecond, `${most} in a second`);
  });

  // All machines of a region lose power and come back together, while a server is cold. None knows of another
  // one yet, and each takes itself for the one that sends.
  it('gets no more than it bears while no instance knows of another', () => {
    const most = mostSent([['a-1'], ['a-2'], ['a-3']], -60_000);
    assert.ok(most <= mostInASecond, `${most} in a second`);
  });

  it('gets nothing from a process that has just started', () => {
    const gate = createColdGate({
      selfId: 'a-1',
      startedAtMs: 1_000,
      instancesInRegion: () => ['a-1'],
    });
    assert.equal(gate.isOpen('s-1', ratePerSecond, 3_900), false);
    assert.equal(gate.isOpen('s-1', ratePerSecond, 4_000), true);
  });
});
