import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { PAUSE_EVENTS } from '../pauses';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

describe('an instance that stood still for 30 s, over real sockets', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  // A hypervisor freezes one instance. It wakes without knowing, with half a minute of the fleet's life missing;
  // callers who reach it in that moment must still get their own whole answers.
  it('notices, asks a peer before it sends, and serves whole answers', async () => {
    const { node, logger, clock } = fleet.instanceIn('windhoek');
    const ask = async () => {
      const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
        method: 'POST',
        body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
        headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
      });
      assert.equal(answer.statusCode, 200);
      assert.match(await answer.body.text(), /t7 .*\[DONE\]/s);
    };
    await ask();
    clock.jumpBy(30_000);
    await ask();
    assert.ok(logger.of(PAUSE_EVENTS.noticed).length >= 1);
    await waitFor(() => logger.of(PAUSE_EVENTS.refreshed).length >= 1, 'a peer’s answer');
    assert.equal(logger.of(PAUSE_EVENTS.unconfirmed).length, 0);
  });
});
