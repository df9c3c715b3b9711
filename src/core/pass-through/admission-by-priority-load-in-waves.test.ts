import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PRIORITY_BOUNDS, comparePriorities, loadsAboveCapacity } from './testing/priority-load';

/**
 * Guards against admission that refuses urgent requests, or loses work, while demand rises and falls: what was learned at the
 * bottom of a wave is wrong at its top.
 */
describe('urgent and less urgent requests that share servers', () => {
  for (const load of loadsAboveCapacity(true)) {
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
    // At the top of these waves, the urgent demand alone is above capacity.
    if (load.capacityMultiple < 2.5) {
      it(`leave the urgent ones in time at ${name}`, () => {
        assert.ok(urgent.inTime >= PRIORITY_BOUNDS.minUrgentInTime, details);
      });
    }
  }
});
