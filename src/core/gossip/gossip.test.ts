import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createVirtualFleet } from '../../testing/virtual-fleet';
import type { VirtualFleet } from '../../testing/virtual-fleet';
import { createFakeClock } from '../../testing';
import { createGossipStore } from './create-gossip-store';

const REGIONS = ['a', 'b', 'c', 'd'];

/** Starts four regions with two instances each. */
function startFleet(fleet: VirtualFleet): void {
  for (const region of REGIONS) {
    for (const number of [1, 2]) {
      fleet.start({
        instanceId: `${region}-${number}`,
        region,
        failureDomain: `${region}-${number}`,
        seedPeers: ['a-1:7400', 'b-1:7400'],
      });
    }
  }
}

async function withFleet(run: (fleet: VirtualFleet) => Promise<void>): Promise<void> {
  const fleet = createVirtualFleet();
  startFleet(fleet);
  await fleet.clock.runFor(5_000);
  try {
    await run(fleet);
  } finally {
    await fleet[Symbol.asyncDispose]();
  }
}

const holders = (fleet: VirtualFleet) =>
  [...fleet.instances.values()]
    .filter(({ gossip }) => gossip.entries('poisonFingerprints').length > 0)
    .map(({ instanceId }) => instanceId)
    .sort();

describe('gossip statements', () => {
  it('reach every instance within seconds', () =>
    withFleet(async (fleet) => {
      fleet.get('c-2').gossip.put({
        topic: 'poisonFingerprints',
        key: 'f1',
        regions: undefined,
        expiresAtUnixMs: fleet.clock.unixMs() + 60_000,
        payload: '{}',
      });
      await fleet.clock.runFor(15_000);
      assert.equal(holders(fleet).length, REGIONS.length * 2);
    }));

  // A statement about a caller's data must not leave the caller's regions, even if the path through another region
  // would be shorter.
  it('reach all of their allowed regions and no others', () =>
    withFleet(async (fleet) => {
      fleet.get('a-1').gossip.put({
        topic: 'poisonFingerprints',
        key: 'f1',
        regions: ['a', 'c'],
        expiresAtUnixMs: fleet.clock.unixMs() + 600_000,
        payload: '{}',
      });
      await fleet.clock.runFor(120_000);
      assert.deepEqual(holders(fleet), ['a-1', 'a-2', 'c-1', 'c-2']);
    }));

  it('are removed everywhere once they expire', () =>
    withFleet(async (fleet) => {
      fleet.get('a-1').gossip.put({
        topic: 'poisonFingerprints',
        key: 'f1',
        regions: undefined,
        expiresAtUnixMs: fleet.clock.unixMs() + 20_000,
        payload: '{}',
      });
      await fleet.clock.runFor(25_000);
      assert.deepEqual(holders(fleet), []);
      const sizes = [...fleet.instances.values()].map(({ gossip }) => gossip.log.size());
      assert.deepEqual(sizes, Array(REGIONS.length * 2).fill(0));
    }));

  // A component makes far more statements than the network links can carry. Updates of membership, and the requests on
  // the same links, must not wait behind them.
  it('do not delay the detection of a crash while thousands of them are queued', () =>
    withFleet(async (fleet) => {
      const { gossip } = fleet.get('a-1');
      for (let index = 0; index < 5_000; index += 1) {
        gossip.put({
          topic: 'callerShares',
          key: `caller-${index}`,
          regions: undefined,
          expiresAtUnixMs: fleet.clock.unixMs() + 600_000,
          payload: 'x'.repeat(200),
        });
      }
      const before = fleet.get('a-1').sentBytes();
      await fleet.crash('d-2');
      await fleet.clock.runFor(10_000);
      assert.equal(fleet.seen('b-2', 'd-2')?.status, 'dead');
      const perSecond = (fleet.get('a-1').sentBytes() - before) / 10;
      assert.ok(perSecond < 10_000, `${perSecond} bytes/s`);
    }));

  // If a machine's clock is years ahead, its statements would never expire.
  it('are rejected if their TTL exceeds a week', () => {
    const clock = createFakeClock();
    const gossip = createGossipStore('a-1', clock);
    const entry = {
      topic: 'serverMarks' as const,
      key: 's1',
      origin: 'a-2',
      version: 1,
      regions: undefined,
      payload: '{}',
    };
    gossip.receive([{ ...entry, expiresAtUnixMs: clock.unixMs() + 10 * 86_400_000 }], 'a-2');
    assert.equal(gossip.entries('serverMarks').length, 0);
    gossip.receive([{ ...entry, expiresAtUnixMs: clock.unixMs() + 1_000 }], 'a-2');
    assert.equal(gossip.entries('serverMarks').length, 1);
  });
});
