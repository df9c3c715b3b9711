import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { sampleConfiguration, sampleRequest } from '../../testing/sample-request';
import { createFakeClock } from '../../testing/fake-clock';
import { compileConfiguration } from '../configuration';
import type { Configuration, ConfigurationStore } from '../configuration';
import { RefusalError } from '../refusals';
import { checkRequest } from './check-request';

const { document } = sampleConfiguration();
const elsewhere = { name: 'rundu', failureDomains: ['rundu-a'] };

// A request waits in a queue while operators publish another version. What was allowed when it came may not be
// any more when its turn comes, and it must not be sent then.
describe('a request that has waited', () => {
  const cases: { name: string; change: Partial<Configuration>; waitMs: number; refusal: string }[] =
    [
      {
        name: 'past a version that confines its caller',
        change: {
          regions: [...document.regions, elsewhere],
          callers: document.callers.map((caller) => ({ ...caller, regions: ['rundu'] })),
        },
        waitMs: 0,
        refusal: 'region-not-allowed',
      },
      {
        name: 'past a version that confines its service',
        change: {
          regions: [...document.regions, elsewhere],
          services: document.services.map((service) => ({ ...service, regions: ['rundu'] })),
        },
        waitMs: 0,
        refusal: 'region-not-allowed',
      },
      {
        name: 'past a version without its caller',
        change: { callers: [] },
        waitMs: 0,
        refusal: 'region-not-allowed',
      },
      {
        name: 'past a version by which it needs a ticket',
        change: {
          services: document.services.map((service) =>
            service.kind === 'plain'
              ? { ...service, nonRepeatable: [{ method: 'PUT', pathPrefix: '/book' } as const] }
              : service,
          ),
        },
        waitMs: 0,
        refusal: 'ticket-required',
      },
      { name: 'past its deadline', change: {}, waitMs: 60_000, refusal: 'deadline-exceeded' },
    ];
  for (const { name, change, waitMs, refusal } of cases) {
    it(`${name} is not sent`, () => {
      const clock = createFakeClock();
      const request = sampleRequest({ method: 'PUT', path: '/book' });
      const inForce = compileConfiguration({ ...document, ...change, version: 2 });
      const checks = {
        clock,
        region: 'windhoek',
        configuration: { current: () => inForce } as ConfigurationStore,
      };
      clock.advanceBy(waitMs);
      assert.throws(
        () => checkRequest(checks, request),
        (error) =>
          error instanceof RefusalError &&
          error.definition.slug === refusal &&
          error.outcome === 'notRun',
      );
    });
  }

  it('and is still allowed is sent with the time that is left', () => {
    const clock = createFakeClock();
    const configuration = { current: () => sampleConfiguration(2) } as ConfigurationStore;
    clock.advanceBy(1_000);
    const request = sampleRequest({ method: 'PUT', path: '/book' });
    const checked = checkRequest({ clock, region: 'windhoek', configuration }, request);
    assert.deepEqual(checked, { regions: ['windhoek'], timeLeftMs: 59_000 });
  });
});
