import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createServerSpeeds } from './server-speeds';
import type { ServerSpeeds } from './server-speeds';

const ID = 's-1@1';

/** Records first bytes every 200 ms whose time is the given multiple of a prediction of 300 ms. */
function recordFirstBytes(speeds: ServerSpeeds, ratio: number, count: number, stated?: number) {
  for (let index = 0; index < count; index += 1) {
    const nowMs = index * 200;
    if (stated !== undefined) speeds.recordStatedSlowdown(ID, stated, nowMs);
    speeds.recordFirstByte(ID, { predictedMs: 300, actualMs: 300 * ratio }, nowMs);
  }
  return (count - 1) * 200;
}

function assertClose(actual: number, expected: number, tolerance: number): void {
  assert.ok(Math.abs(actual - expected) <= tolerance, `${actual}, expected ${expected}`);
}

// A statement that is used for too long, or a malformed one, sends requests away from a server of usual speed.
describe('the stated slowdown of a server', () => {
  const cases = [
    { name: 'is 1 without a statement', stated: undefined, afterMs: 0, expected: 1 },
    { name: 'is the newest statement', stated: 2.5, afterMs: 0, expected: 2.5 },
    { name: 'has half of its weight after 200 ms', stated: 3, afterMs: 200, expected: 2 },
    { name: 'is gone after some hundred ms', stated: 2.5, afterMs: 1_600, expected: 1.01 },
    { name: 'is gone after an hour', stated: 2.5, afterMs: 3_600_000, expected: 1 },
    { name: 'counts if the server is faster than usual', stated: 0.5, afterMs: 0, expected: 0.5 },
    { name: 'is bounded above', stated: 90, afterMs: 0, expected: 8 },
    { name: 'is bounded below', stated: 0.01, afterMs: 0, expected: 0.25 },
    { name: 'is not used if it is 0', stated: 0, afterMs: 0, expected: 1 },
    { name: 'is not used if it is negative', stated: -2, afterMs: 0, expected: 1 },
    { name: 'is not used if it is no number', stated: NaN, afterMs: 0, expected: 1 },
    { name: 'is not used if it is infinite', stated: Infinity, afterMs: 0, expected: 1 },
  ];
  for (const { name, stated, afterMs, expected } of cases) {
    it(name, () => {
      const speeds = createServerSpeeds();
      if (stated !== undefined) speeds.recordStatedSlowdown(ID, stated, 1_000);
      assertClose(speeds.factor(ID, 1_000 + afterMs), expected, 0.011);
    });
  }

  it('replaces an earlier statement', () => {
    const speeds = createServerSpeeds();
    speeds.recordStatedSlowdown(ID, 2.5, 0);
    speeds.recordStatedSlowdown(ID, 1, 100);
    assert.equal(speeds.factor(ID, 100), 1);
  });
});

// Without a learned part, a server whose statement is missing or wrong gets more than it can finish in time.
describe('the learned slowdown of a server', () => {
  const cases = [
    { name: 'is 1 if the server has never stated one', ratio: 2, stated: undefined, expected: 1 },
    { name: 'is the ratio of actual to predicted times', ratio: 1.8, stated: 1, expected: 1.65 },
    { name: 'is below 1 at a fast server', ratio: 0.55, stated: 1, expected: 0.65 },
    { name: 'is 1 within the usual error of predictions', ratio: 1.2, stated: 1, expected: 1 },
    { name: 'does not count again what is stated', ratio: 1.8, stated: 1.8, expected: 1.8 },
  ];
  for (const { name, ratio, stated, expected } of cases) {
    it(name, () => {
      const speeds = createServerSpeeds();
      const nowMs = recordFirstBytes(speeds, ratio, 40, stated);
      assertClose(speeds.factor(ID, nowMs), expected, 0.1);
    });
  }

  it('is bounded: a first byte that is a thousand times late counts as eight times late', () => {
    const factors = [8, 1_000].map((ratio) => {
      const speeds = createServerSpeeds();
      return speeds.factor(ID, recordFirstBytes(speeds, ratio, 200, 1));
    });
    assert.equal(factors[1], factors[0]);
    assert.ok((factors[1] ?? Infinity) <= 8);
  });

  it('moves over seconds: one late first byte does not change it', () => {
    const speeds = createServerSpeeds();
    const nowMs = recordFirstBytes(speeds, 1, 20, 1);
    speeds.recordFirstByte(ID, { predictedMs: 300, actualMs: 900 }, nowMs);
    assert.equal(speeds.factor(ID, nowMs), 1);
  });

  it('replaces a statement that has become old', () => {
    const speeds = createServerSpeeds();
    const nowMs = recordFirstBytes(speeds, 1.8, 100, 1.8);
    assertClose(speeds.factor(ID, nowMs + 1_000), 1.7, 0.1);
  });

  it('decays to 1 without requests', () => {
    const speeds = createServerSpeeds();
    const nowMs = recordFirstBytes(speeds, 2, 40, 1);
    assertClose(speeds.factor(ID, nowMs + 60_000), 1, 0.01);
  });

  it('is not carried over to the next incarnation', () => {
    const speeds = createServerSpeeds();
    const nowMs = recordFirstBytes(speeds, 2, 40, 1);
    speeds.recordStatedSlowdown('s-1@2', 1, nowMs);
    assert.equal(speeds.factor('s-1@2', nowMs), 1);
    speeds.keepOnly(new Set(['s-1@2']));
    assert.equal(speeds.factor(ID, nowMs), 1);
  });

  it('ignores predictions and times that are no numbers', () => {
    const speeds = createServerSpeeds();
    speeds.recordStatedSlowdown(ID, 1, 0);
    for (const predictedMs of [0, -1, NaN]) {
      speeds.recordFirstByte(ID, { predictedMs, actualMs: 900 }, 0);
    }
    speeds.recordFirstByte(ID, { predictedMs: 300, actualMs: NaN }, 0);
    assert.equal(speeds.factor(ID, 0), 1);
  });
});
