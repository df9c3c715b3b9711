import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { ENGINE_ORDER_EVENTS } from '../engine-orders';
import { startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

describe('placement, over real sockets', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  const presentAt = (engineId: string) =>
    fleet.engines
      .get(engineId)
      ?.models.sight(engineId, performance.now())
      .models.map(({ name, version, state }) => `${name} ${version} ${state}`);

  const publish = (version: number, adapterVersion: string) =>
    fleet.publish({
      ...fleet.configuration,
      version,
      placement: {
        ...fleet.configuration.placement,
        models: [
          {
            service: 'kit-assistant',
            region: 'windhoek',
            name: 'roof-trusses',
            kind: 'adapter',
            version: adapterVersion,
            source: `weights/roof-trusses/${adapterVersion}`,
            engines: 1,
          },
        ],
        lookIntervalMs: 200,
      },
    });

  it('loads what a version of the configuration wants, in its region alone, with a line for the order', async () => {
    publish(2, 'v1');
    await waitFor(
      () => presentAt('engine-windhoek')?.join() === 'roof-trusses v1 loaded',
      'the adapter',
    );
    assert.deepEqual(presentAt('engine-walvis-bay'), []);
    const lines = fleet.instances.flatMap(({ logger }) => logger.of(ENGINE_ORDER_EVENTS.ordered));
    assert.equal(lines.length, 1);
    assert.equal(lines[0]?.fields.server, 'engine-windhoek');
    assert.equal(lines[0]?.fields.reason, 'wanted here and missing');
  });

  // The region has one engine with this adapter and no other to stand in. Unloading it for its next version would
  // refuse every caller of it for as long as the load takes.
  it('leaves the only copy in place and says that it is blocked', async () => {
    publish(3, 'v2');
    await waitFor(
      () => fleet.instances.some(({ logger }) => logger.of(ENGINE_ORDER_EVENTS.blocked).length > 0),
      'the line',
    );
    assert.deepEqual(presentAt('engine-windhoek'), ['roof-trusses v1 loaded']);
  });
});
