import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { createEntryCaller } from '../../testing/entry-caller';
import type { EntryCaller } from '../../testing/entry-caller';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { FleetInstance, SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

const CALLERS = 6;
const LOST_DOMAIN = 'b';
const ASKS_AFTER = 5;

interface EntryBody {
  readonly entry: { readonly instanceId: string };
  readonly fallbacks: readonly { readonly instanceId: string }[];
}

describe('a failure domain of every region lost, over real sockets', () => {
  let fleet: SmallFleet;
  const callers: EntryCaller[] = [];
  before(async () => {
    fleet = await startSmallFleet();
    for (const engine of fleet.engines.values()) engine.behaviour.tokenIntervalMs = 5;
  });
  after(async () => {
    await Promise.all(callers.map((caller) => caller[Symbol.asyncDispose]()));
    await fleet[Symbol.asyncDispose]();
  });

  const namedBy = async ({ node }: FleetInstance): Promise<readonly string[]> => {
    const answer = await request(`http://${node.callerAddress}/v1/entry`, {
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
    });
    const { entry, fallbacks } = (await answer.body.json()) as EntryBody;
    return [entry, ...fallbacks].map(({ instanceId }) => instanceId);
  };

  // Power fails for half of the instances, without a word to anybody. What they had in hand is lost, and their
  // callers must find another entry by themselves at once, long before anybody has noticed.
  it('costs each caller at most the request in its hands, and no later one', async () => {
    const lost = fleet.instances.filter(({ domain }) => domain === LOST_DOMAIN);
    const left = fleet.instances.filter(({ domain }) => domain !== LOST_DOMAIN);
    const directory = fleet.instances.map(({ node }) => node.callerAddress);
    for (let index = 0; index < CALLERS; index += 1) {
      const at = index % directory.length;
      const rotated = [...directory.slice(at), ...directory.slice(0, at)];
      callers.push(createEntryCaller(FLEET_KEYS.everywhere, rotated));
    }
    await Promise.all(callers.map((caller) => caller.ask()));

    const inHand = callers.map((caller) => caller.ask());
    await Promise.all(lost.map(({ node }) => node[Symbol.asyncDispose]()));
    await Promise.all(inHand);
    const lostThen = callers.map(({ totals }) => totals.lost.length);
    assert.ok(Math.max(...lostThen) <= 1, lostThen.join(' '));

    for (let round = 0; round < ASKS_AFTER; round += 1) {
      await Promise.all(callers.map((caller) => caller.ask()));
    }
    callers.forEach(({ totals }, index) => {
      assert.deepEqual(totals.lost.slice(lostThen[index]), []);
      assert.equal(totals.answered, 2 + ASKS_AFTER - (lostThen[index] ?? 0));
    });

    const lostIds = new Set(lost.map(({ instanceId }) => instanceId));
    for (const instance of left) {
      const namesNoneLost = async () =>
        (await namedBy(instance)).every((instanceId) => !lostIds.has(instanceId));
      await waitFor(namesNoneLost, `${instance.instanceId} to name only live instances`);
    }
  });
});
