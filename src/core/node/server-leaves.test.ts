import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { SERVER_HEALTH_EVENTS } from '../server-health';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

describe('a backend server that leaves, over real sockets', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  const ask = (address: string) =>
    request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
    });

  // The platform is about to stop an engine, which answers its health checks with 503 from then on. A caller
  // whose answer is half written must get the rest; the next one must not be put on the engine any more.
  it('finishes its streams and gets no new work', async () => {
    const engine = fleet.engines.get('engine-windhoek');
    assert.ok(engine !== undefined);
    const { node, logger } = fleet.instanceIn('windhoek');
    engine.behaviour.tokenIntervalMs = 100;
    const open = await ask(node.callerAddress);
    engine.behaviour.health = 'draining';
    await waitFor(() => logger.of(SERVER_HEALTH_EVENTS.serverDraining).length > 0, 'the word');
    const ranBefore = engine.ledger.entries.length;

    const next = await ask(node.callerAddress);
    assert.match(await next.body.text(), /\[DONE\]/);
    assert.match(await open.body.text(), /t7 .*\[DONE\]/s);
    assert.equal(engine.ledger.entries.length, ranBefore);
    engine.behaviour.tokenIntervalMs = 0;
  });
});
