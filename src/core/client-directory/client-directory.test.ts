import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseAddresses } from '.';

const ENTRIES = [
  { callerAddress: 'n1', region: 'north', failureDomain: 'north-a' },
  { callerAddress: 'n2', region: 'north', failureDomain: 'north-b' },
  { callerAddress: 's1', region: 'south', failureDomain: 'south-a' },
];

const VIEW = { alive: ENTRIES, leaving: [], homeRegions: [] };

describe('the instances that a caller is told', () => {
  it('are those of its region, of all failure domains', () => {
    const place = { region: 'north', failureDomain: 'north-a' };
    assert.deepEqual(chooseAddresses(VIEW, place), ['n1', 'n2']);
  });

  // All instances of a region are gone. Its callers are served from elsewhere rather than not at all.
  it('are all others where its region has none', () => {
    const place = { region: 'east', failureDomain: 'east-a' };
    assert.deepEqual(chooseAddresses(VIEW, place), ['n1', 'n2', 's1']);
  });

  // Two machines of a region are replaced at once. Its callers' data may be in the north but not in the south,
  // and an instance that is named to them reads it.
  it('are those of regions in which its data may be, where its region has none', () => {
    const place = { region: 'east', failureDomain: undefined };
    const inNorth = { ...VIEW, homeRegions: ['north', 'east'] };
    assert.deepEqual(chooseAddresses(inNorth, place), ['n1', 'n2']);
    const inWest = { ...VIEW, homeRegions: ['west'] };
    assert.deepEqual(chooseAddresses(inWest, place), ['n1', 'n2', 's1']);
  });

  // All machines are replaced one after the other, each taking seconds to go. For a moment all instances of the
  // home regions are leaving, and the only other one is where the data may not be.
  it('are those that are leaving rather than one where its data may not be', () => {
    const [n1, n2, s1] = ENTRIES;
    const rolling = {
      alive: s1 === undefined ? [] : [s1],
      leaving: n1 === undefined || n2 === undefined ? [] : [n1, n2],
      homeRegions: ['north', 'west'],
    };
    const inNorth = { region: 'north', failureDomain: undefined };
    const inWest = { region: 'west', failureDomain: undefined };
    assert.deepEqual(chooseAddresses(rolling, inNorth), ['n1', 'n2']);
    assert.deepEqual(chooseAddresses(rolling, inWest), ['n1', 'n2']);
    assert.deepEqual(chooseAddresses({ ...rolling, homeRegions: [] }, inNorth), ['s1']);
  });

  it('are a bounded number', () => {
    const many = Array.from({ length: 100 }, (_unused, index) => ({
      callerAddress: `n${index}`,
      region: 'north',
      failureDomain: 'north-a',
    }));
    const place = { region: 'north', failureDomain: undefined };
    assert.equal(chooseAddresses({ ...VIEW, alive: many }, place).length, 64);
  });
});
