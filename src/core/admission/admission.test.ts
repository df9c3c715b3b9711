import assert from 'node:assert/strict';
import { describe, it, test } from 'node:test';
import { createAdaptiveLimit } from './adaptive-limit';
import { decideAdmission } from './decide-admission';
import type { AdmissionInput } from './decide-admission';
import { gradientRule } from './gradient-rule';
import { createLatencyBaseline } from './latency-baseline';
import { MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS, createRetrySlots } from './retry-slots';
import { createServiceRate } from './service-rate';
import type { AdaptiveLimit } from './types';

/** Records twenty answers in a row, each begun after the previous one ended. */
function recordAnswers(
  limit: AdaptiveLimit,
  fromMs: number,
  latencyMs: number,
  inFlight: number,
): number {
  let nowMs = fromMs;
  for (let index = 0; index < inFlight - 1; index += 1) limit.begin(1);
  for (let index = 0; index < 20; index += 1) {
    limit.begin(1);
    nowMs += latencyMs;
    limit.end(1, { kind: 'answered', latencyMs, expectedMs: 100 }, nowMs);
  }
  for (let index = 0; index < inFlight - 1; index += 1) {
    limit.end(1, { kind: 'withoutAnswer' }, nowMs);
  }
  return nowMs;
}

describe('an adaptive limit', () => {
  const create = () => createAdaptiveLimit({ initialRequestUnits: 1, tolerance: 2 });

  it('grows while it is fully used and answers are as fast as on an idle server', () => {
    const limit = create();
    recordAnswers(limit, 0, 100, 4);
    assert.equal(limit.limitUnits(), 8);
  });

  it('does not grow while it is not fully used', () => {
    const limit = create();
    recordAnswers(limit, 0, 100, 1);
    assert.equal(limit.limitUnits(), 4);
  });

  // A server becomes ten times slower. With a fixed limit, as many requests as before pile up on it and the caller
  // of each waits for seconds.
  it('decreases to one request on a server that became ten times slower, and never below', () => {
    const limit = create();
    let nowMs = 0;
    for (let round = 0; round < 20; round += 1) nowMs = recordAnswers(limit, nowMs, 1_000, 1);
    assert.equal(limit.limitUnits(), 1);
    assert.equal(limit.hasCapacity(), true);
    limit.begin(1);
    assert.equal(limit.hasCapacity(), false);
  });

  // Requests that were sent before a limit decreased still end slowly for a while. If they counted against the new
  // limit, they would decrease it again and again, and the fleet would be idle after each burst.
  it('ignores answers to requests that began before its last change', () => {
    const limit = create();
    const nowMs = recordAnswers(limit, 0, 1_000, 1);
    const changed = limit.limitUnits();
    for (let index = 0; index < 40; index += 1) {
      limit.begin(1);
      limit.end(1, { kind: 'answered', latencyMs: 5_000, expectedMs: 100 }, nowMs + 10);
    }
    assert.equal(limit.limitUnits(), changed);
  });

  it('decreases once after a report of a queue in the server, and not after one older than its last change', () => {
    const limit = create();
    limit.decreaseForServerQueue(100, 400);
    const once = limit.limitUnits();
    assert.ok(once < 4);
    limit.decreaseForServerQueue(300, 500);
    assert.equal(limit.limitUnits(), once);
  });
});

describe('the gradient rule', () => {
  const window = { limitUnits: 100, peakUnits: 100, meanRequestUnits: 1, stretch: 1 };
  const cases = [
    { name: 'no overload, fully used', changes: {}, next: 105 },
    { name: 'no overload, half used', changes: { peakUnits: 50 }, next: 100 },
    { name: 'slight overload', changes: { stretch: 2.5 }, next: 80 },
    { name: 'an outlier window', changes: { stretch: 50 }, next: 70 },
  ];
  for (const { name, changes, next } of cases) {
    it(name, () => assert.equal(gradientRule({ ...window, ...changes }, 2), next));
  }
});

describe('a latency baseline', () => {
  const learn = (latencies: readonly number[], canRaise: boolean) => {
    const baseline = createLatencyBaseline();
    latencies.forEach((latencyMs) => baseline.learn(1_000, latencyMs, canRaise));
    return baseline.expectedMs(1_000) ?? 0;
  };

  // Overload lasts for minutes and every answer is slow. If the baseline followed, that would count as normal, the
  // limits would grow and requests would queue inside the servers.
  it('does not rise while servers are busy', () => {
    assert.equal(learn([100, ...Array<number>(200).fill(900)], false), 100);
  });

  it('rises when answers are slow at little load, and falls with faster ones', () => {
    assert.ok(learn([100, ...Array<number>(200).fill(900)], true) > 800);
    assert.ok(learn([900, ...Array<number>(200).fill(100)], false) < 150);
  });

  it('distinguishes sizes and scales to unknown ones', () => {
    const baseline = createLatencyBaseline();
    assert.equal(baseline.expectedMs(500), undefined);
    baseline.learn(1_024, 1_000, true);
    assert.equal(baseline.expectedMs(4_096), 4_000);
    assert.equal(baseline.expectedMs(512), 500);
  });
});

describe('admission', () => {
  const input: AdmissionInput = {
    nowMs: 1_000,
    deadlineAtMs: 11_000,
    expectedWaitMs: 100,
    expectedServiceMs: 2_000,
    isQueueStanding: false,
    standingWaitMs: 500,
  };
  const cases = [
    { name: 'a short wait', changes: {}, expected: 'wait' },
    { name: 'a wait within the deadline', changes: { expectedWaitMs: 5_900 }, expected: 'wait' },
    {
      name: 'a wait beyond the deadline',
      changes: { expectedWaitMs: 6_100 },
      expected: 'wait-outlasts-deadline',
    },
    {
      name: 'work longer than the remaining time',
      changes: { expectedServiceMs: 9_000 },
      expected: 'deadline-too-near',
    },
    {
      name: 'a long wait in a standing queue',
      changes: { isQueueStanding: true, expectedWaitMs: 600 },
      expected: 'standing-queue',
    },
    {
      name: 'a short wait in a standing queue',
      changes: { isQueueStanding: true, expectedWaitMs: 400 },
      expected: 'wait',
    },
  ];
  for (const { name, changes, expected } of cases) {
    it(name, () => {
      const decision = decideAdmission({ ...input, ...changes });
      assert.equal(decision.kind === 'refuse' ? decision.reason : decision.kind, expected);
    });
  }
});

describe('retry times', () => {
  // A thousand requests are refused in one second. With the same retry time, they would all come back together, be
  // refused together and come back again.
  it('are spread at the rate at which the service completes work', () => {
    const slots = createRetrySlots();
    const times = Array.from({ length: 100 }, () => slots.next(10, 0, 0.1, 0));
    assert.equal(times[0], MIN_RETRY_DELAY_MS);
    assert.equal(times[10], MIN_RETRY_DELAY_MS + 10 * 100);
  });

  it('stay between the minimum and the maximum delay', () => {
    const slots = createRetrySlots();
    assert.equal(slots.next(1, 0, 1, 0), MIN_RETRY_DELAY_MS);
    assert.equal(slots.next(1_000_000, 0, 0.001, 0), MAX_RETRY_DELAY_MS);
  });
});

test('the rate of a service is derived from the work in flight and its duration', () => {
  const rate = createServiceRate();
  assert.equal(rate.unitsPerMs(100), 0);
  for (let index = 0; index < 50; index += 1) rate.learn(10, 1_000);
  assert.ok(Math.abs(rate.unitsPerMs(100) - 0.1) < 1e-9);
});
