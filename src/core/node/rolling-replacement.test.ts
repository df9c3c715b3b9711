import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { DRAINING_EVENTS } from '../draining';
import { createEntryCaller } from '../../testing/entry-caller';
import type { EntryCaller } from '../../testing/entry-caller';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

const CALLERS = 6;

describe('planned stops, over real sockets', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
    for (const engine of fleet.engines.values()) engine.behaviour.tokenIntervalMs = 5;
  });
  after(() => fleet[Symbol.asyncDispose]());

  const addresses = () => fleet.instances.map(({ node }) => node.callerAddress);

  const entryNamedBy = async (address: string): Promise<string> => {
    const answer = await request(`http://${address}/v1/entry`, {
      headers: { authorization: `Bearer ${FLEET_KEYS.homeOnly}` },
    });
    const body = (await answer.body.json()) as { entry: { instanceId: string } };
    return body.entry.instanceId;
  };

  // Operators roll out a release: each instance is stopped and another started in its place, while callers go
  // on asking over kept connections. A request that is cut, or whose caller can't know whether it ran, is a
  // lost plan or an order that somebody dares not place again.
  it('cuts no request while every instance is replaced in turn', async () => {
    const callers: EntryCaller[] = Array.from({ length: CALLERS }, () =>
      createEntryCaller(FLEET_KEYS.everywhere, addresses()),
    );
    let isRolling = true;
    const load = callers.map(async (caller) => {
      while (isRolling) await caller.ask();
    });
    for (const instance of [...fleet.instances]) {
      const next = await fleet.replace(instance);
      await waitFor(() => next.node.isReady() && next.node.knownPeerCount() === 5, 'the next');
    }
    isRolling = false;
    await Promise.all(load);
    const lost = callers.flatMap(({ totals }) => totals.lost);
    assert.deepEqual(lost, []);
    for (const { totals } of callers) assert.ok(totals.answered > 10, `${totals.answered}`);
    await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
  });

  // The directory in which callers find their first instance lags, so some ask the very instance that is
  // going. Were it to name itself, they would be refused a moment later and ask again in a circle.
  it('is named by nobody once it leaves, itself included, and closes kept connections', async () => {
    const [leaving, other] = fleet.instances.filter(({ region }) => region === 'rundu');
    assert.ok(leaving !== undefined && other !== undefined);
    const engine = fleet.engines.get('engine-windhoek');
    assert.ok(engine !== undefined);
    // The open answer keeps the instance from going until all has been looked at.
    engine.behaviour.answerTokens = Infinity;
    const open = await request(`http://${leaving.node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
    });
    const replaced = fleet.replace(leaving);
    for (const address of addresses()) {
      await waitFor(
        async () => (await entryNamedBy(address)) === other.instanceId,
        `${address} to name the other`,
      );
    }
    const answer = await request(`http://${leaving.node.callerAddress}/v1/models`, {
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
    });
    assert.equal(answer.headers.connection, 'close');
    engine.behaviour.answerTokens = 8;
    assert.match(await open.body.text(), /t7 .*\[DONE\]/s);
    await replaced;
    assert.equal(leaving.logger.of(DRAINING_EVENTS.drained).length, 1);
  });
});
