import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseAddresses } from '.';

const ENTRIES = [
  { callerAddress: 'n1', region: 'north', failureDomain: 'north-a' },
  { callerAddress: 'n2', region: 'north', failureDomain: 'north-b' },
  { callerAddress: 's1', region: 'south', failureDomain: 'south-a' },
];

describe('the instances that a caller is told', () => {
  it('are those of its region, of all failure domains', () => {
    const place = { region: 'north', failureDomain: 'north-a' };
    assert.deepEqual(chooseAddresses(ENTRIES, place, []), ['n1', 'n2']);
  });

  // All instances of a region are gone. Its callers are served from elsewhere rather than not at all.
  it('are all others where its region has none', () => {
    const place = { region: 'east', failureDomain: 'east-a' };
    assert.deepEqual(chooseAddresses(ENTRIES, place, []), ['n1', 'n2', 's1']);
  });

  // Two machines of a region are replaced at once. Its callers' data may be in the north but not in the south,
  // and an instance that is named to them reads it.
  it('are those of regions in which its data may be, where its region has none', () => {
    const place = { region: 'east', failureDomain: undefined };
    assert.deepEqual(chooseAddresses(ENTRIES, place, ['north', 'east']), ['n1', 'n2']);
    assert.deepEqual(chooseAddresses(ENTRIES, place, ['west']), ['n1', 'n2', 's1']);
  });

  it('are a bounded number', () => {
    const many = Array.from({ length: 100 }, (_unused, index) => ({
      callerAddress: `n${index}`,
      region: 'north',
      failureDomain: 'north-a',
    }));
    const place = { region: 'north', failureDomain: undefined };
    assert.equal(chooseAddresses(many, place, []).length, 64);
  });
});
