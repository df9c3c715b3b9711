import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { flattenFigures } from './flatten';

describe('the figures in a bench’s JSON', () => {
  const cases = [
    { name: 'a number', value: 3, paths: ['=3'] },
    { name: 'members of an object', value: { a: { b: 1 }, c: 2 }, paths: ['a/b=1', 'c=2'] },
    {
      name: 'items of a list by their name',
      value: [{ name: 'p50', value: 7, unit: 'ms' }],
      paths: ['p50/value=7'],
    },
    { name: 'items without a name by their place', value: [[4], [5]], paths: ['0/0=4', '1/0=5'] },
    { name: 'nothing in texts and nulls', value: { a: 'x', b: null }, paths: [] },
  ];
  for (const { name, value, paths } of cases) {
    it(`are found: ${name}`, () => {
      const found = flattenFigures(value).map((figure) => `${figure.path}=${figure.value}`);
      assert.deepEqual(found, paths);
    });
  }
});
