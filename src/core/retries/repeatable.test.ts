import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { serviceSchema } from '../configuration/service-schema';
import { isRepeatable } from './repeatable';

describe('whether a request may run twice', () => {
  const model = serviceSchema.parse({
    kind: 'model',
    name: 'kit',
    regions: ['rundu'],
    models: ['k'],
  });
  const plain = serviceSchema.parse({
    kind: 'plain',
    name: 'orders',
    regions: ['rundu'],
    nonRepeatable: [{ method: 'PUT', pathPrefix: '/bookings' }],
  });
  const cases = [
    { service: model, method: 'POST', path: '/v1/chat/completions', expected: true },
    { service: plain, method: 'GET', path: '/stock', expected: true },
    { service: plain, method: 'PUT', path: '/stock', expected: true },
    { service: plain, method: 'PUT', path: '/bookings/7', expected: false },
    // A missing rule in the configuration must not lead to a duplicated order.
    { service: plain, method: 'POST', path: '/orders', expected: false },
  ];
  for (const { service, method, path, expected } of cases) {
    it(`${method} ${path} of a ${service.kind} service: ${expected ? 'yes' : 'no'}`, () => {
      assert.equal(isRepeatable({ service, method, path }), expected);
    });
  }
});
