import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startEngineRegion } from '../../testing/engine-region';
import type { EngineRegion, EngineRegionOptions } from '../../testing/engine-region';
import { ENGINE_ORDER_EVENTS } from './events';
import { nextFencingNumber } from './fencing';

const MINUTE_MS = 60_000;
const LIMIT_MS = 30 * MINUTE_MS;
const ENGINES_WANTED = 4;

const options = (change: Partial<EngineRegionOptions> = {}): EngineRegionOptions => ({
  engineCount: 8,
  senderCount: 2,
  fencing: 'refuses',
  slots: 2,
  loadMs: 20_000,
  loadsPerMinute: 12,
  ...change,
});

const wanted = (version: string) => [
  { name: 'kit', version, engines: ENGINES_WANTED },
  { name: 'quotes', version: 'v1', engines: 3 },
];

/** Configures all instances and waits until the region has what it should. */
async function settle(region: EngineRegion, configurationVersion: number, version: string) {
  const configuration = region.configurationOf(configurationVersion, wanted(version));
  region.senders.forEach((sender) => sender.configure(configuration));
  return region.timeUntil(() => isSettled(region, version), LIMIT_MS);
}

function isSettled(region: EngineRegion, version: string): boolean {
  return (
    region.servingCount('kit', version) === ENGINES_WANTED &&
    region.servingCount('kit') === ENGINES_WANTED &&
    region.servingCount('quotes', 'v1') === 3
  );
}

/** Moves time until the region has what it should; the fewest engines that served the name meanwhile. */
async function fewestServing(region: EngineRegion, version: string): Promise<number> {
  let fewest = Infinity;
  await region.timeUntil(() => {
    fewest = Math.min(fewest, region.servingCount('kit'));
    return isSettled(region, version);
  }, LIMIT_MS);
  assert.ok(isSettled(region, version), 'the region has what it should');
  return fewest;
}

function assertLimitKept(region: EngineRegion, perMinute: number) {
  const most = region.weightStore.mostReadsIn(MINUTE_MS);
  assert.ok(most <= perMinute, `${most} reads in a minute`);
}

describe('engine orders in a region', () => {
  for (const fencing of ['refuses', 'ignores'] as const) {
    describe(`at engines that ${fencing === 'refuses' ? 'refuse' : 'ignore'} old numbers`, () => {
      it('place what is wanted within the weight store’s limit, then send nothing more', async () => {
        await using region = startEngineRegion(options({ fencing }));
        await settle(region, 1, 'v1');
        assert.ok(isSettled(region, 'v1'));
        assert.equal(region.weightStore.readCount(), ENGINES_WANTED + 3);
        assertLimitKept(region, 12);
        const before = region.orderCount();
        await region.clock.advanceByAsync(MINUTE_MS);
        assert.equal(region.orderCount(), before);
      });

      it('change a version without ever taking the name away', async () => {
        await using region = startEngineRegion(options({ fencing }));
        await settle(region, 1, 'v1');
        const next = region.configurationOf(2, wanted('v2'));
        region.senders.forEach((sender) => sender.configure(next));
        assert.ok((await fewestServing(region, 'v2')) >= ENGINES_WANTED / 2);
        assertLimitKept(region, 12);
      });

      // Two instances differ for a while over who is alive, and both take the orders for their duty.
      it('come to the same end under two senders, with no more loads', async () => {
        await using region = startEngineRegion(options({ fencing }));
        region.senders.forEach((sender) => Object.assign(sender, { isSender: true }));
        await settle(region, 1, 'v1');
        const next = region.configurationOf(2, wanted('v2'));
        region.senders.forEach((sender) => sender.configure(next));
        assert.ok((await fewestServing(region, 'v2')) >= ENGINES_WANTED / 2);
        assert.equal(region.weightStore.readCount(), 2 * ENGINES_WANTED + 3);
        assertLimitKept(region, 12);
      });

      // The sender is frozen in the middle of a change and another takes over and finishes a later one. Woken, the
      // first still holds orders for a version that nobody wants any more.
      it('are not given by a sender that stood still while another went on', async () => {
        await using region = startEngineRegion(options({ fencing }));
        const [first, second] = region.senders;
        assert.ok(first !== undefined && second !== undefined);
        await settle(region, 1, 'v1');
        const next = region.configurationOf(2, wanted('v2'));
        region.senders.forEach((sender) => sender.configure(next));
        await region.clock.advanceByAsync(1_500);
        first.clock.pause();
        second.isSender = true;
        second.configure(region.configurationOf(3, wanted('v3')));
        assert.ok((await fewestServing(region, 'v3')) >= ENGINES_WANTED / 2);
        first.clock.resume();
        await region.clock.advanceByAsync(3 * MINUTE_MS);
        assert.ok(isSettled(region, 'v3'));
      });

      // Half of the engines can't be reached from the sender for a minute. What it can't see it must not count.
      it('never count on engines that the sender can’t reach', async () => {
        await using region = startEngineRegion(options({ fencing }));
        await settle(region, 1, 'v1');
        const ids = [...region.engines.keys()];
        region.senders.forEach((sender) => ids.slice(0, 4).forEach((id) => sender.cut.add(id)));
        const next = region.configurationOf(2, wanted('v2'));
        region.senders.forEach((sender) => sender.configure(next));
        await region.clock.advanceByAsync(MINUTE_MS);
        assert.ok(region.servingCount('kit') >= 1);
        region.senders.forEach((sender) => sender.cut.clear());
        assert.ok((await fewestServing(region, 'v2')) >= 1);
      });
    });
  }

  // Every instance was replaced while the configuration service was stale, and the new ones start with an old
  // version. The engines have had orders of a later one.
  it('are not given under a configuration that is older than the engines’ last orders', async () => {
    await using region = startEngineRegion(options());
    await settle(region, 1, 'v1');
    const [engine] = region.engines.values();
    const later = nextFencingNumber(undefined, 9);
    engine?.take({ kind: 'setRole', engineId: '', role: 'mixed' }, later, 0);
    const before = region.orderCount();
    const next = region.configurationOf(2, wanted('v2'));
    region.senders.forEach((sender) => sender.configure(next));
    await region.clock.advanceByAsync(MINUTE_MS);
    assert.equal(region.orderCount(), before);
    const lines = region.senders[0]?.logger.of(ENGINE_ORDER_EVENTS.configurationOld) ?? [];
    assert.ok(lines.length > 0);
  });

  it('move what a leaving engine has before it goes', async () => {
    await using region = startEngineRegion(options());
    await settle(region, 1, 'v1');
    const [leaving] = [...region.engines].find(([id, engine]) =>
      engine.sight(id, region.clock.monotonicMs()).models.some(({ name }) => name === 'kit'),
    ) ?? [''];
    region.healthStates.set(leaving, { kind: 'draining', cause: 'list' });
    await region.timeUntil(() => region.servingCount('kit', 'v1') === ENGINES_WANTED + 1, LIMIT_MS);
    assert.equal(region.servingCount('kit', 'v1'), ENGINES_WANTED + 1);
  });
});
