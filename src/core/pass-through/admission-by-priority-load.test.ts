import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  RELAXED,
  SERVERS,
  URGENT,
  PRIORITY_BOUNDS,
  comparePriorities,
  loadsAboveCapacity,
  measure,
} from './testing/priority-load';
import { simulateAdmission } from './testing/simulate-admission';
import type { PriorityRule } from './testing/simulate-admission';

/**
 * Guards against admission that prefers kinds with a long objective. Queues grew until the first byte of a less urgent
 * request would have been late; by then, all urgent requests were predicted late and refused, at every retry.
 */
describe('urgent and less urgent requests that share servers', () => {
  for (const load of loadsAboveCapacity(false)) {
    const { name, urgent, relaxed, largestTenthServed, goodput, unboundedGoodput, details } =
      comparePriorities(load);

    it(`are served by their priority at ${name}`, () => {
      assert.ok(urgent.served >= relaxed.served - PRIORITY_BOUNDS.maxServedDeficit, details);
      assert.ok(urgent.inTime >= relaxed.inTime - PRIORITY_BOUNDS.maxInTimeDeficit, details);
    });
    it(`do as much work in time as without priorities at ${name}`, () => {
      assert.ok(goodput >= unboundedGoodput, details);
    });
    it(`include the largest prompts at ${name}`, () => {
      assert.ok(largestTenthServed >= relaxed.served * PRIORITY_BOUNDS.minLargestTenth, details);
    });
    it(`leave the urgent ones in time at ${name}`, () => {
      assert.ok(urgent.inTime >= PRIORITY_BOUNDS.minUrgentInTime, details);
    });
    if (load.capacityMultiple >= 1.2) {
      it(`keep servers busy at ${name}`, () => {
        assert.ok(goodput >= PRIORITY_BOUNDS.minGoodput, details);
      });
    }
  }
});

/** Guards against a bound that refuses, delays or sends away requests although nothing is scarce. */
describe('the bound on waits', () => {
  for (const instances of [1, 6, 30]) {
    it(`refuses nobody at 0.3 times capacity, ${instances} instances`, () => {
      const load = { capacityMultiple: 0.3, instances, isInWaves: false };
      const [bounded, unbounded] = [measure(load, 'maxWait'), measure(load, 'none')];
      const details = JSON.stringify({ bounded, unbounded });
      assert.ok(bounded.urgent.served >= unbounded.urgent.served, details);
      assert.ok(bounded.relaxed.served >= unbounded.relaxed.served, details);
    });

    it(`changes nothing for a single priority at 2.5 times capacity, ${instances} instances`, () => {
      const run = (priorityRule: PriorityRule) =>
        simulateAdmission({
          seed: 1,
          perSecond: 100,
          instances,
          servers: SERVERS,
          durationMs: 20_000,
          kinds: [
            { ...RELAXED, share: 0.5 },
            { ...URGENT, priority: RELAXED.priority, share: 0.5 },
          ],
          priorityRule,
        });
      assert.deepEqual(run('maxWait'), run('none'));
    });
  }
});
