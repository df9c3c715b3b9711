import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Service } from '../configuration';
import { sampleConfiguration } from '../../testing/sample-request';
import { isNonRepeatable, isUnclearPath } from './non-repeatable';

// A caller, or a proxy before it, writes the path of an order in another way. If the rule did not match, the
// order would be sent without a ticket and repeated after a failure: the yard would cut the pack twice.
describe('the rule for POST /place', () => {
  const service = sampleConfiguration().serviceNamed('orders') as Service;
  const cases = [
    { method: 'POST', path: '/place', matches: true },
    { method: 'POST', path: '/place/truss?urgent', matches: true },
    { method: 'post', path: '/place', matches: true },
    { method: 'POST', path: '/PLACE', matches: true },
    { method: 'POST', path: '//place', matches: true },
    { method: 'POST', path: '/./place', matches: true },
    { method: 'POST', path: '/stock/../place', matches: true },
    { method: 'POST', path: '/%70lace', matches: true },
    { method: 'POST', path: '/%2570lace', matches: true },
    { method: 'POST', path: '/stock%2f..%2fplace', matches: true },
    { method: 'POST', path: '/\\place', matches: true },
    { method: 'POST', path: '/;v=1/place', matches: true },
    { method: 'POST', path: '/ｐlace', matches: true },
    { method: 'POST', path: '/stock?path=/place', matches: false },
    { method: 'POST', path: '/stock', matches: false },
    { method: 'GET', path: '/place', matches: false },
  ];
  for (const { method, path, matches } of cases) {
    it(`${matches ? 'holds' : 'does not hold'} for ${method} ${path}`, () => {
      assert.equal(isNonRepeatable(service, method, path), matches);
    });
  }
});

describe('a path that applications read in different ways', () => {
  const cases = [
    { path: '/place', unclear: false },
    { path: '/place/truss%20pack?size=3%2F4', unclear: false },
    { path: '/place/caf%C3%A9', unclear: false },
    { path: 'place', unclear: true },
    { path: '//place', unclear: true },
    { path: '/a/../place', unclear: true },
    { path: '/place/.', unclear: true },
    { path: '/%2e%2e/place', unclear: true },
    { path: '/a%2Fplace', unclear: true },
    { path: '/a%5cplace', unclear: true },
    { path: '/a\\place', unclear: true },
    { path: '/%2570lace', unclear: true },
    { path: '/place;x', unclear: true },
    { path: '/place%00', unclear: true },
    { path: '/place#x', unclear: true },
    { path: '/%zz', unclear: true },
    { path: '/%ff', unclear: true },
  ];
  for (const { path, unclear } of cases) {
    it(`${unclear ? 'is' : 'is not'} ${path}`, () => {
      assert.equal(isUnclearPath(path), unclear);
    });
  }
});
