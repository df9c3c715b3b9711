import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import OpenAI from 'openai';
import { request } from 'undici';
import { ROUTING_EVENTS } from '../routing';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

const bearer = (key: string) => ({ authorization: `Bearer ${key}` });

describe('the full path, over real sockets in three regions', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  const clientAt = (address: string, key: string = FLEET_KEYS.everywhere) =>
    new OpenAI({ apiKey: key, baseURL: `http://${address}/v1`, maxRetries: 0 });

  async function streamedText(client: OpenAI): Promise<string> {
    const stream = await client.chat.completions.create({
      model: 'kit-large',
      messages: [{ role: 'user', content: 'a floor plan' }],
      stream: true,
    });
    let text = '';
    for await (const part of stream) text += part.choices[0]?.delta.content ?? '';
    return text;
  }

  it('names an entry in the caller’s region with fallbacks in other failure domains', async () => {
    const { node } = fleet.instanceIn('rundu');
    const answer = await request(`http://${node.callerAddress}/v1/entry`, {
      headers: bearer(FLEET_KEYS.homeOnly),
    });
    const body = (await answer.body.json()) as {
      entry: { region: string; failureDomain: string };
      fallbacks: { region: string; failureDomain: string }[];
      askAgainAtUnixMs: number;
    };
    assert.equal(body.entry.region, 'rundu');
    assert.equal(body.fallbacks.length, 1);
    assert.notEqual(body.fallbacks[0]?.failureDomain, body.entry.failureDomain);
    assert.ok(body.askAgainAtUnixMs > 0);
  });

  const whole = 't0 t1 t2 t3 t4 t5 t6 t7 ';

  it('streams a whole answer from a server of the same region to an OpenAI client', async () => {
    const { node, logger } = fleet.instanceIn('windhoek');
    assert.equal(await streamedText(clientAt(node.callerAddress)), whole);
    const [line] = logger.of(ROUTING_EVENTS.routed).slice(-1);
    assert.equal(line?.fields.server, 'engine-windhoek');
  });

  it('forwards to another region when its own has no server, and streams the whole answer', async () => {
    const { node, logger } = fleet.instanceIn('rundu');
    assert.equal(await streamedText(clientAt(node.callerAddress)), whole);
    const [line] = logger.of(ROUTING_EVENTS.routed).slice(-1);
    assert.notEqual(line?.fields.region, undefined);
  });

  it('answers a call that is not streamed', async () => {
    const client = clientAt(fleet.instanceIn('walvis-bay').node.callerAddress);
    const answer = await client.chat.completions.create({
      model: 'kit-large',
      messages: [{ role: 'user', content: 'a floor plan' }],
    });
    assert.equal(answer.choices[0]?.message.content, whole);
  });

  it('passes a plain call on with its path and body', async () => {
    const { node } = fleet.instanceIn('rundu');
    const answer = await request(`http://${node.callerAddress}/services/orders/stock?item=truss`, {
      method: 'POST',
      body: 'how many',
      headers: bearer(FLEET_KEYS.everywhere),
    });
    assert.deepEqual(await answer.body.json(), {
      path: '/stock?item=truss',
      run: 1,
      echo: 'how many',
    });
  });

  it('serves no data outside the caller’s regions, and says that nothing ran', async () => {
    const ranBefore = [...fleet.engines.values()].map((engine) => engine.ledger.entries.length);
    const { node } = fleet.instanceIn('rundu');
    const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'kit-large', messages: [] }),
      headers: bearer(FLEET_KEYS.homeOnly),
    });
    const problem = (await answer.body.json()) as { outcome: string; type: string };
    assert.equal(problem.type, 'urn:coltsfootworks:refusal:no-server');
    assert.equal(problem.outcome, 'notRun');
    const ranAfter = [...fleet.engines.values()].map((engine) => engine.ledger.entries.length);
    assert.deepEqual(ranAfter, ranBefore);
  });

  it('brings a new version into force on every instance', async () => {
    fleet.publish({ ...fleet.configuration, version: 2 });
    await waitFor(
      () => fleet.instances.every(({ node }) => node.configurationVersion() === 2),
      'version 2 everywhere',
    );
  });
});
