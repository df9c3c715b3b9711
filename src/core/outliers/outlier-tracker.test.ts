import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { resilienceSchema } from '../configuration';
import { createSeededRandom } from '../random';
import { keepUsable } from './keep-usable';
import { createOutlierTracker } from './outlier-tracker';
import type { Ejection } from './types';

const OPTIONS = resilienceSchema.parse({}).outliers;
const GROUP = 'kit';

/** Creates a tracker with simulated servers that answer one after the other, each after its own time. */
function fleet(serverCount: number) {
  const ejections: Ejection[] = [];
  const tracker = createOutlierTracker(
    () => OPTIONS,
    (ejection) => ejections.push(ejection),
  );
  const serverIds = Array.from({ length: serverCount }, (_unused, at) => `engine-${at + 1}`);
  const begin = (serverId: string, nowMs: number, workUnits = 1) =>
    tracker.begin({ serverId, group: GROUP }, workUnits, nowMs);
  const answer = (serverId: string, nowMs: number, tookMs: number) =>
    begin(serverId, nowMs).headReceived(nowMs + tookMs, false);
  const fail = (
    serverId: string,
    nowMs: number,
    times: number,
    failure: 'unreachable' | 'broken' = 'broken',
  ) => {
    for (let time = 0; time < times; time += 1) begin(serverId, nowMs).failed(nowMs, failure);
  };
  const ejectionStates = (nowMs: number) => serverIds.map((id) => tracker.ejectionState(id, nowMs));
  const warmUp = () => {
    for (let round = 0; round < 20; round += 1) {
      serverIds.forEach((id) => answer(id, round * 100, 50 + (round % 3) * 20));
    }
    return 2_000;
  };
  return { tracker, ejections, serverIds, begin, answer, fail, ejectionStates, warmUp };
}

// One server of a service refuses each connection within a millisecond. It always looks idle and so attracts
// most requests; these fail although the other servers have capacity.
describe('a server that fails', () => {
  it('is ejected after several consecutive failures, for twice as long each time', () => {
    const { tracker, fail, warmUp, ejections } = fleet(3);
    let nowMs = warmUp();
    fail('engine-1', nowMs, OPTIONS.failuresInARow - 1);
    assert.equal(tracker.ejectionState('engine-1', nowMs), 'inUse');
    fail('engine-1', nowMs, 1);
    assert.equal(tracker.ejectionState('engine-1', nowMs), 'ejected');

    nowMs += OPTIONS.ejectForMs;
    assert.equal(tracker.ejectionState('engine-1', nowMs), 'returning');
    fail('engine-1', nowMs, 2);
    assert.deepEqual(
      ejections.map(({ reason, untilMs, ejections: inARow }) => ({ reason, untilMs, inARow })),
      [
        { reason: 'failures', untilMs: nowMs, inARow: 1 },
        { reason: 'failures', untilMs: nowMs + 2 * OPTIONS.ejectForMs, inARow: 2 },
      ],
    );
  });

  it('is ejected sooner and for a short time if nothing listens on it', () => {
    const { tracker, fail, warmUp, ejections } = fleet(3);
    const nowMs = warmUp();
    fail('engine-1', nowMs, 1, 'unreachable');
    assert.equal(tracker.ejectionState('engine-1', nowMs), 'inUse');
    fail('engine-1', nowMs, 1, 'unreachable');
    fail('engine-1', nowMs + 2_000, 1, 'unreachable');
    assert.deepEqual(
      ejections.map(({ reason, untilMs }) => ({ reason, untilMs })),
      [
        { reason: 'unreachable', untilMs: nowMs + 2_000 },
        { reason: 'unreachable', untilMs: nowMs + 4_000 },
      ],
    );
  });

  it('stays in use if it answers between its failures', () => {
    const { tracker, fail, answer, warmUp } = fleet(3);
    const nowMs = warmUp();
    for (let round = 0; round < 5; round += 1) {
      fail('engine-1', nowMs + round, OPTIONS.failuresInARow - 1);
      answer('engine-1', nowMs + round, 50);
    }
    assert.equal(tracker.ejectionState('engine-1', nowMs + 5), 'inUse');
  });

  it('has its old ejections forgotten after working well for a long time', () => {
    const { fail, warmUp, ejections } = fleet(3);
    const nowMs = warmUp();
    fail('engine-1', nowMs, OPTIONS.failuresInARow);
    const laterMs = nowMs + OPTIONS.ejectForMs + OPTIONS.returnMs + OPTIONS.forgetEjectionMs;
    fail('engine-1', laterMs, OPTIONS.failuresInARow);
    assert.deepEqual(
      ejections.map(({ ejections: inARow }) => inARow),
      [1, 1],
    );
  });
});

// One engine runs ten times slower than others of its group, for example on a throttled accelerator. It
// answers, so that nothing counts as a failure, but each request sent to it takes many times as long.
describe('a slow server', () => {
  it('is ejected once its answers are slower than those of its group by the factor', () => {
    const { tracker, answer, warmUp, serverIds } = fleet(4);
    const startMs = warmUp();
    for (let round = 0; round < 12; round += 1) {
      const nowMs = startMs + round * 250;
      serverIds.forEach((id) => answer(id, nowMs, id === 'engine-1' ? 700 : 70));
    }
    const nowMs = startMs + 12 * 250;
    assert.equal(tracker.ejectionState('engine-1', nowMs), 'ejected');
    assert.equal(tracker.ejectionState('engine-2', nowMs), 'inUse');
  });

  it('is detected by requests that are still open', () => {
    const { tracker, begin, answer, warmUp } = fleet(4);
    const startMs = warmUp();
    for (let request = 0; request < 8; request += 1) begin('engine-1', startMs);
    answer('engine-2', startMs + 1_000, 70);
    assert.equal(tracker.ejectionState('engine-1', startMs + 1_100), 'ejected');
  });

  it('is detected by the rate of its streamed answers even if their heads arrive in time', () => {
    const { tracker, begin, serverIds, warmUp } = fleet(4);
    const startMs = warmUp();
    for (let round = 0; round < 16; round += 1) {
      const nowMs = startMs + round * 250;
      serverIds.forEach((id) => {
        const stream = begin(id, nowMs);
        stream.headReceived(nowMs + 70, false);
        stream.partsReceived(50);
        stream.ended(nowMs + 70 + 50 * (id === 'engine-1' ? 200 : 20));
      });
    }
    assert.equal(tracker.ejectionState('engine-1', startMs + 4_000), 'ejected');
    assert.equal(tracker.ejectionState('engine-3', startMs + 4_000), 'inUse');
  });

  it('is not considered slow because its requests are larger', () => {
    const { tracker, begin, answer, warmUp } = fleet(4);
    const startMs = warmUp();
    for (let round = 0; round < 20; round += 1) {
      const nowMs = startMs + round * 250;
      begin('engine-1', nowMs, 10).headReceived(nowMs + 600, false);
      answer('engine-2', nowMs, 70);
    }
    assert.equal(tracker.ejectionState('engine-1', startMs + 5_000), 'inUse');
  });

  it('gets few requests at first when it returns, and is ejected again after two slow attempts', () => {
    const { tracker, begin, fail, warmUp } = fleet(4);
    const startMs = warmUp();
    fail('engine-1', startMs, OPTIONS.failuresInARow);
    const backMs = startMs + OPTIONS.ejectForMs;
    const random = createSeededRandom(3);
    const drawsAt = (nowMs: number) =>
      Array.from({ length: 1_000 }, () => tracker.mayUse('engine-1', nowMs, random)).filter(Boolean)
        .length;
    assert.equal(drawsAt(backMs - 1), 0);
    assert.ok(drawsAt(backMs) < 100);
    const halfway = drawsAt(backMs + OPTIONS.returnMs / 2);
    assert.ok(halfway > 400 && halfway < 650, `${halfway} of 1000`);
    assert.equal(drawsAt(backMs + OPTIONS.returnMs), 1_000);
    begin('engine-1', backMs);
    begin('engine-1', backMs);
    begin('engine-2', backMs + 1_000);
    assert.equal(tracker.ejectionState('engine-1', backMs + 1_000), 'ejected');
  });
});

// The network or an application behind all servers fails. If every server were ejected for it, none could
// answer after the recovery, and until then the last server would get the whole load.
describe('the limit on ejections', () => {
  const cases = [
    { servers: 1, mostEjected: 0 },
    { servers: 2, mostEjected: 1 },
    { servers: 3, mostEjected: 1 },
    { servers: 8, mostEjected: 4 },
  ];
  for (const { servers, mostEjected } of cases) {
    it(`ejects ${mostEjected} of ${servers} failing servers`, () => {
      const { fail, serverIds, ejectionStates, warmUp } = fleet(servers);
      const nowMs = warmUp();
      serverIds.forEach((id) => fail(id, nowMs, 20));
      const ejected = ejectionStates(nowMs).filter(
        (ejectionState) => ejectionState === 'ejected',
      ).length;
      assert.equal(ejected, mostEjected);
    });
  }

  it('does not count unreachable servers, but always keeps one server', () => {
    const { fail, serverIds, ejectionStates, warmUp } = fleet(8);
    const nowMs = warmUp();
    serverIds.forEach((id) => fail(id, nowMs, 20, 'unreachable'));
    assert.equal(
      ejectionStates(nowMs).filter((ejectionState) => ejectionState === 'ejected').length,
      7,
    );
  });

  it('still offers a server if all candidates are ejected', () => {
    const { tracker, fail, warmUp } = fleet(2);
    const nowMs = warmUp();
    fail('engine-1', nowMs, OPTIONS.failuresInARow);
    const candidates = [{ serverId: 'engine-1' }];
    assert.deepEqual(keepUsable(tracker, candidates, nowMs, createSeededRandom(1)), candidates);
  });
});
