import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createPriorityAdmission } from '.';
import type { PriorityAdmission, RequestKind } from '.';

const URGENT: RequestKind = { service: 'chat', priority: 0, objectiveMs: 500 };
/** Bound of a less urgent request because of an urgent one, ms. */
const BOUND_MS = 150;
const RELAXED: RequestKind = { service: 'chat', priority: 2, objectiveMs: 1_500 };

/** Records requests of a kind every 100 ms, from one time to another. */
function recordFor(
  admission: PriorityAdmission,
  kind: RequestKind,
  fromMs: number,
  toMs: number,
): void {
  for (let atMs = fromMs; atMs <= toMs; atMs += 100) admission.recordDemand(kind, atMs);
}

/** Guards against less urgent requests that fill the queues of servers before urgent ones, and against needless bounds. */
describe('the maximum wait of a request', () => {
  const cases: readonly {
    readonly name: string;
    readonly demand: readonly RequestKind[];
    readonly kind: RequestKind;
    readonly maxWaitMs: number;
  }[] = [
    { name: 'is its objective without demand', demand: [], kind: RELAXED, maxWaitMs: 1_500 },
    {
      name: 'is its objective with a single priority',
      demand: [RELAXED, { ...RELAXED, objectiveMs: 300 }],
      kind: RELAXED,
      maxWaitMs: 1_500,
    },
    {
      name: 'is a share of the objective of a more urgent kind',
      demand: [URGENT, RELAXED],
      kind: RELAXED,
      maxWaitMs: BOUND_MS,
    },
    {
      name: 'is its objective for the most urgent kind',
      demand: [URGENT, RELAXED],
      kind: URGENT,
      maxWaitMs: 500,
    },
    {
      name: 'does not depend on other services',
      demand: [{ ...URGENT, service: 'review' }],
      kind: RELAXED,
      maxWaitMs: 1_500,
    },
    {
      name: 'is its objective if that is smaller than the share',
      demand: [URGENT],
      kind: { ...RELAXED, objectiveMs: 100 },
      maxWaitMs: 100,
    },
    {
      name: 'depends on the smallest objective among several more urgent kinds',
      demand: [{ ...URGENT, objectiveMs: 2_000 }, { ...URGENT, priority: 1 }, URGENT],
      kind: RELAXED,
      maxWaitMs: BOUND_MS,
    },
    {
      name: 'depends only on kinds that are more urgent',
      demand: [URGENT, { ...URGENT, priority: 2, objectiveMs: 100 }, { ...RELAXED, priority: 3 }],
      kind: { ...RELAXED, priority: 1 },
      maxWaitMs: BOUND_MS,
    },
  ];
  for (const { name, demand, kind, maxWaitMs } of cases) {
    it(name, () => {
      const admission = createPriorityAdmission();
      for (const each of demand) recordFor(admission, each, 0, 2_000);
      assert.equal(admission.maxWaitMs(kind, 2_000), maxWaitMs);
    });
  }
});

/**
 * Guards against a bound that jumps: all instances that see the first urgent request of a wave at the same moment
 * would refuse all less urgent ones at once, and admit all of them at once after the wave.
 */
describe('the bound over time', () => {
  it('falls within one second after the first urgent request, without a jump', () => {
    const admission = createPriorityAdmission();
    admission.recordDemand(URGENT, 1_000);
    let previousMs = admission.maxWaitMs(RELAXED, 1_000);
    assert.equal(previousMs, 1_500);
    for (let atMs = 1_010; atMs <= 2_000; atMs += 10) {
      const boundMs = admission.maxWaitMs(RELAXED, atMs);
      assert.ok(boundMs <= previousMs && previousMs - boundMs <= 30, `${previousMs}, ${boundMs}`);
      previousMs = boundMs;
    }
    assert.equal(previousMs, BOUND_MS);
  });

  it('rises to the objective within seconds after the last urgent request, without a jump', () => {
    const admission = createPriorityAdmission();
    recordFor(admission, URGENT, 0, 3_000);
    let previousMs = admission.maxWaitMs(RELAXED, 3_000);
    assert.equal(previousMs, BOUND_MS);
    for (let atMs = 3_010; atMs <= 12_000; atMs += 10) {
      const boundMs = admission.maxWaitMs(RELAXED, atMs);
      assert.ok(boundMs >= previousMs && boundMs - previousMs <= 30, `${previousMs}, ${boundMs}`);
      previousMs = boundMs;
    }
    assert.equal(previousMs, 1_500);
  });

  // With 300 instances, each sees an urgent request only every few seconds although they arrive all the time.
  it('stays low while an urgent request arrives every four seconds', () => {
    const admission = createPriorityAdmission();
    for (let atMs = 0; atMs <= 20_000; atMs += 4_000) admission.recordDemand(URGENT, atMs);
    for (let atMs = 1_000; atMs <= 24_000; atMs += 500) {
      assert.equal(admission.maxWaitMs(RELAXED, atMs), BOUND_MS);
    }
  });

  it('continues from its current value if urgent requests return while it rises', () => {
    const admission = createPriorityAdmission();
    recordFor(admission, URGENT, 0, 1_000);
    const beforeMs = admission.maxWaitMs(RELAXED, 7_000);
    admission.recordDemand(URGENT, 7_000);
    assert.ok(beforeMs > BOUND_MS && beforeMs < 1_500, `${beforeMs}`);
    assert.equal(admission.maxWaitMs(RELAXED, 7_000), beforeMs);
    assert.equal(admission.maxWaitMs(RELAXED, 8_000), BOUND_MS);
  });

  // A configuration gives the urgent route another priority or objective.
  it('no longer depends on a kind that has not been requested for ten seconds', () => {
    const admission = createPriorityAdmission();
    recordFor(admission, { ...URGENT, objectiveMs: 100 }, 0, 1_000);
    recordFor(admission, URGENT, 1_000, 11_000);
    assert.equal(admission.maxWaitMs(RELAXED, 11_000), BOUND_MS);
  });
});
