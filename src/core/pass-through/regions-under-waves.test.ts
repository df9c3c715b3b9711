import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { simulateRegions } from './testing/simulate-regions';
import type { RegionsLoad, RegionsResult } from './testing/simulate-regions';

const INSTANCES = [1, 6, 30];
const SEEDS = [1, 2];
const WAVES = { demand: 0.75, waveAmplitude: 0.9, regionalRoom: true };

const results = new Map<string, RegionsResult>();

/** Returns the result of a load; several tests look at the same one, and each takes up to two seconds. */
function resultOf(load: RegionsLoad): RegionsResult {
  const key = JSON.stringify(Object.entries(load).sort());
  const result = results.get(key) ?? simulateRegions(load);
  results.set(key, result);
  return result;
}

function inTimeShare({ inTime, arrived }: RegionsResult): number {
  return inTime / arrived;
}

// The demand of each region swings between a tenth and 1.9 times its mean every 20 s, and reports are up to 2 s old.
// Without spillover the smallest region would refuse a third of its callers at each peak while the others have room.
describe('three regions of unequal size under waves of demand', () => {
  for (const instancesPerRegion of INSTANCES) {
    for (const seed of SEEDS) {
      const load: RegionsLoad = { ...WAVES, seed, instancesPerRegion, slotsPerServer: 12 };
      const at = `${instancesPerRegion} instances each (seed ${seed})`;

      it(`serve requests in time and refuse none, with ${at}`, () => {
        const result = resultOf(load);
        assert.ok(inTimeShare(result) >= 0.99, `in time ${inTimeShare(result)}`);
        assert.equal(result.refusedDespiteRoom, 0);
        const aboveRoom = result.forwardedAboveRoom / result.forwarded;
        assert.ok(aboveRoom < 0.05, `above room ${aboveRoom}`);
      });
    }
  }

  it('keep all requests where they arrive if nothing is scarce', () => {
    for (const instancesPerRegion of INSTANCES) {
      const load = { ...WAVES, demand: 0.3, seed: 1, instancesPerRegion, slotsPerServer: 12 };
      assert.equal(resultOf(load).forwarded, 0);
    }
  });
});

// At 64 slots a server, chance moves the requests of a second by a few percent only, so that changes are visible.
describe('three regions of unequal size with many slots', () => {
  for (const instancesPerRegion of INSTANCES) {
    const load: RegionsLoad = { ...WAVES, seed: 1, instancesPerRegion, slotsPerServer: 64 };
    const at = `${instancesPerRegion} instances each`;

    // Instances that follow the same old reports could fill and leave a region in turn.
    it(`move less than a fifth of a region's load within 1 s at steady demand, with ${at}`, () => {
      const { maxChange } = resultOf({ ...load, waveAmplitude: 0 });
      assert.ok(maxChange < 0.2, `${maxChange}`);
    });

    it(`move less within 1 s than with the least utilized region in waves, with ${at}`, () => {
      const { maxChange } = resultOf(load);
      const least = resultOf({ ...load, regionalRoom: false });
      assert.ok(maxChange < least.maxChange, `${maxChange}, ${least.maxChange} before`);
    });

    it(`move less than a fifth of a region's load within 1 s in waves, with ${at}`, () => {
      const { maxChange } = resultOf(load);
      assert.ok(maxChange < 0.2, `${maxChange}`);
    });

    it(`refuse none while another has room in waves, with ${at}`, () => {
      const result = resultOf(load);
      assert.ok(inTimeShare(result) >= 0.99, `in time ${inTimeShare(result)}`);
      assert.equal(result.refusedDespiteRoom, 0);
    });
  }
});
