import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import type { TraceLine } from '../decision-trace';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

interface Answer {
  readonly status: number;
  readonly type?: string;
  readonly outcome?: string;
  readonly retryAtUnixMs?: number;
}

describe('failures of servers, over real sockets in three regions', () => {
  let fleet: SmallFleet;
  let lines: TraceLine[];
  beforeEach(async () => {
    lines = [];
    fleet = await startSmallFleet({
      recordOf: (instanceId) => (line) => {
        if (instanceId === 'windhoek-a') lines.push(line);
      },
    });
  });
  afterEach(() => fleet[Symbol.asyncDispose]());

  const bodyOf = (content: string) =>
    JSON.stringify({ model: 'kit-large', messages: [{ role: 'user', content }], stream: true });
  const ask = async (content: string): Promise<Answer> => {
    const { node } = fleet.instanceIn('windhoek');
    const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
      body: bodyOf(content),
    });
    const status = answer.statusCode;
    const text = await answer.body.text();
    return status === 200 ? { status } : { ...(JSON.parse(text) as Answer), status };
  };
  const runsOf = (content: string) =>
    [...fleet.engines.values()].reduce(
      (sum, { ledger }) => sum + ledger.runsOfBody(bodyOf(content)),
      0,
    );
  const dropAt = (engineIds: readonly string[]) =>
    engineIds.forEach((id) => {
      const engine = fleet.engines.get(id);
      if (engine !== undefined) engine.behaviour.dropAfterTokens = 0;
    });

  // The region's only engine crashes while it runs a request. The caller sees nothing of it but a longer wait,
  // since an engine of another region that it may use runs the request instead.
  it('are answered by a server of another region', async () => {
    dropAt(['engine-windhoek']);
    assert.equal((await ask('a floor plan')).status, 200);
    assert.equal(runsOf('a floor plan'), 2);
  });

  // One request crashes every engine that runs it, and its caller sends it again and again. Without a limit each
  // sending takes another engine from all other callers.
  it('crash at most two servers for one request where messages flow, and the caller is told', async () => {
    dropAt(['engine-windhoek', 'engine-walvis-bay']);
    const first = await ask('poison');
    assert.equal(first.outcome, 'unknown');
    await waitFor(
      () => lines.some((line) => line.kind === 'poison' && line.outcome === 'refused'),
      'both crashes to be known',
    );
    for (let sending = 0; sending < 5; sending += 1) {
      const answer = await ask('poison');
      assert.equal(answer.type, 'urn:coltsfootworks:refusal:poison-request');
      assert.equal(answer.outcome, 'notRun');
      assert.ok((answer.retryAtUnixMs ?? 0) > 0);
    }
    assert.equal(runsOf('poison'), 2);
  });
});
