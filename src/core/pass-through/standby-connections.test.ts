import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock } from '../../testing';
import type { ForwardPeer } from './other-regions';
import { createStandbyConnections } from './standby-connections';

function peersOf(region: string, count: number): ForwardPeer[] {
  return Array.from({ length: count }, (_unused, index) => ({
    instanceId: `${region}-${index}`,
    region,
    forwardAddress: `${region}-${index}:1`,
    inFlightRequests: 0,
  }));
}

/** Counts the connections that an instance of the region north opens. */
function countOpened(peers: readonly ForwardPeer[]): Map<string, number> {
  const counts = new Map<string, number>();
  const connections = createStandbyConnections({
    clock: createFakeClock(),
    selfId: 'north-0',
    region: 'north',
    peers: () => peers,
    path: '/here',
    pool: {
      count: (address) => counts.get(address) ?? 0,
      send(address) {
        counts.set(address, (counts.get(address) ?? 0) + 1);
        return undefined;
      },
    },
  });
  connections.refill();
  connections.refill();
  return counts;
}

// At the start of a peak, the first requests that leave the region each waited for a new connection
// over the long link before they could be sent. Callers of that region missed their objective
// although the other region was idle.
describe('connections to other regions', () => {
  const cases = [
    { name: 'are kept to both instances of a small region', south: 2, expected: 6 },
    { name: 'are kept to the one instance of a region', south: 1, expected: 3 },
    { name: 'do not grow with the fleet', south: 40, expected: 6 },
    { name: 'are none if there is no other region', south: 0, expected: 0 },
  ];
  for (const { name, south, expected } of cases) {
    it(name, () => {
      const counts = countOpened([...peersOf('north', 5), ...peersOf('south', south)]);
      const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
      assert.equal(total, expected);
    });
  }
});
