import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { chooseAddresses } from '.';

const ENTRIES = [
  { callerAddress: 'n1', region: 'north', failureDomain: 'north-a' },
  { callerAddress: 'n2', region: 'north', failureDomain: 'north-b' },
  { callerAddress: 's1', region: 'south', failureDomain: 'south-a' },
];

const VIEW = { alive: ENTRIES, leaving: [], homeRegions: [] };

describe('the instances returned to a caller', () => {
  it('are those of its region, in all failure domains', () => {
    const location = { region: 'north', failureDomain: 'north-a' };
    assert.deepEqual(chooseAddresses(VIEW, location), ['n1', 'n2']);
  });

  // If a region has no instances, its callers are served from other regions rather than not at all.
  it('are those of all regions if its region has none', () => {
    const location = { region: 'east', failureDomain: 'east-a' };
    assert.deepEqual(chooseAddresses(VIEW, location), ['n1', 'n2', 's1']);
  });

  // Two machines of a region are replaced at once. The data of its callers may be read in the north but not in the
  // south, and an instance reads the data of each request that it receives.
  it('are those of the home regions if its region has none', () => {
    const location = { region: 'east', failureDomain: undefined };
    const inNorth = { ...VIEW, homeRegions: ['north', 'east'] };
    assert.deepEqual(chooseAddresses(inNorth, location), ['n1', 'n2']);
    const inWest = { ...VIEW, homeRegions: ['west'] };
    assert.deepEqual(chooseAddresses(inWest, location), ['n1', 'n2', 's1']);
  });

  // All machines are replaced one after the other, and each takes seconds to stop. For a moment all instances of the
  // home regions are leaving, and the only other one is in a region where the data must not be read.
  it('are leaving ones of the home regions rather than live ones outside them', () => {
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

  it('are limited in number', () => {
    const many = Array.from({ length: 100 }, (_unused, index) => ({
      callerAddress: `n${index}`,
      region: 'north',
      failureDomain: 'north-a',
    }));
    const location = { region: 'north', failureDomain: undefined };
    assert.equal(chooseAddresses({ ...VIEW, alive: many }, location).length, 64);
  });
});
