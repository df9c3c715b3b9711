import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { configurationSchema } from '../configuration';
import { isConfigurationOld, nextFencingNumber, versionOfFencing } from './fencing';
import { loadAllowance } from './weight-budget';

describe('fencing numbers', () => {
  // Every instance of a region is replaced in an hour, and none of them remembers a number. An order that was
  // held up since before must still be older, for the engine, than what the new instances send.
  it('never fall, whoever sends next under whatever later configuration', () => {
    const rises = fc.array(fc.integer({ min: 0, max: 3 }), { minLength: 1, maxLength: 50 });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 2 ** 30 }), rises, (start, steps) => {
        let version = start;
        let seen: number | undefined;
        for (const step of steps) {
          version += step;
          const next = nextFencingNumber(seen, version);
          assert.ok(seen === undefined || next > seen);
          assert.ok(Number.isSafeInteger(next));
          assert.equal(versionOfFencing(next), version);
          seen = next;
        }
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  const cases = [
    { name: 'an engine that ignores numbers', seen: undefined, expected: false },
    { name: 'an earlier version', seen: nextFencingNumber(undefined, 6), expected: false },
    { name: 'the same version', seen: nextFencingNumber(undefined, 7) + 12, expected: false },
    { name: 'a later version', seen: nextFencingNumber(undefined, 8), expected: true },
  ];
  for (const { name, seen, expected } of cases) {
    it(`tell an old configuration at ${name}: ${expected}`, () => {
      assert.equal(isConfigurationOld(seen, 7), expected);
    });
  }
});

describe('the part of the weight store’s limit', () => {
  const configurationWith = (perMinute: number) => {
    const regions = ['rundu', 'windhoek', 'walvis-bay'];
    return configurationSchema.parse({
      version: 1,
      deployment: 'omaruru',
      regions: regions.map((name) => ({ name, failureDomains: [`${name}-a`] })),
      services: [{ kind: 'model', name: 'kit', regions, models: ['kit-large'] }],
      backendServers: [],
      callers: [],
      placement: {
        weightStoreLoadsPerMinute: perMinute,
        models: regions.map((region, index) => ({
          service: 'kit',
          region,
          name: 'kit-large',
          version: 'v1',
          source: 's',
          engines: [6, 3, 1][index],
        })),
      },
    });
  };

  it('follows what is wanted, and all parts together keep the limit', () => {
    for (const perMinute of [0.5, 1, 7, 60, 100]) {
      const configuration = configurationWith(perMinute);
      const perMinuteOf = (region: string) => {
        const { loads, windowMs } = loadAllowance(configuration, 'kit', region);
        assert.ok(loads >= 1);
        return (loads / windowMs) * 60_000;
      };
      const sum = perMinuteOf('rundu') + perMinuteOf('windhoek') + perMinuteOf('walvis-bay');
      assert.ok(sum <= perMinute + 1e-9, `${sum} of ${perMinute}`);
      assert.ok(perMinuteOf('rundu') > perMinuteOf('walvis-bay'));
    }
  });
});
