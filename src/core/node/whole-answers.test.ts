import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import OpenAI from 'openai';
import { request } from 'undici';
import type { EngineStandIn } from '../../../standins/engine';
import type { Configuration } from '../configuration';
import { STREAM_EVENTS } from '../streams';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

const authorization = `Bearer ${FLEET_KEYS.everywhere}`;
const WHOLE = Array.from({ length: 40 }, (_unused, token) => `t${token} `).join('');

describe('a streamed answer, over real sockets in three regions', () => {
  let fleet: SmallFleet;
  let configuration: Configuration;
  let home: EngineStandIn;
  let away: EngineStandIn;

  const publish = async (change: (next: Configuration) => Configuration) => {
    configuration = { ...change(configuration), version: configuration.version + 1 };
    fleet.publish(configuration);
    await waitFor(
      () =>
        fleet.instances.every(({ node }) => node.configurationVersion() === configuration.version),
      'the new version everywhere',
    );
  };

  // A fleet for each test: a server that has just crashed is kept out of the way for a while.
  beforeEach(async () => {
    fleet = await startSmallFleet();
    configuration = fleet.configuration;
    home = fleet.engines.get('engine-windhoek') as EngineStandIn;
    away = fleet.engines.get('engine-walvis-bay') as EngineStandIn;
    await publish((next) => ({
      ...next,
      services: next.services.map((service) => ({ ...service, silenceTimeoutMs: 300 })),
    }));
    for (const { behaviour } of [home, away]) {
      behaviour.answerTokens = 40;
      // A pause lets what came before a crash leave the engine.
      behaviour.tokenIntervalMs = 2;
    }
  });
  afterEach(() => fleet[Symbol.asyncDispose]());

  const ask = async (
    region: 'windhoek' | 'rundu',
    more: Record<string, unknown> = {},
  ): Promise<{ text: string; ids: Set<string> }> => {
    const client = new OpenAI({
      apiKey: FLEET_KEYS.everywhere,
      baseURL: `http://${fleet.instanceIn(region).node.callerAddress}/v1`,
      maxRetries: 0,
    });
    const stream = await client.chat.completions.create({
      model: 'kit-large',
      messages: [{ role: 'user', content: 'a floor plan' }],
      stream: true,
      ...more,
    } as OpenAI.ChatCompletionCreateParamsStreaming);
    let text = '';
    const ids = new Set<string>();
    for await (const part of stream) {
      text += part.choices[0]?.delta.content ?? '';
      ids.add(part.id);
    }
    return { text, ids };
  };

  const breaks = [
    { name: 'whose engine crashes', change: { dropAfterTokens: 17 } },
    { name: 'whose engine falls silent', change: { silentAfterTokens: 17 } },
    { name: 'whose engine crashes before any text', change: { dropAfterTokens: 0 } },
  ];
  for (const { name, change } of breaks) {
    it(`goes on at the exact place on another engine: one ${name}`, async () => {
      // Halfway through a cutting list its engine is lost. The caller notices a pause, and gets the rest with no
      // token lost or doubled.
      Object.assign(home.behaviour, change);
      const { logger } = fleet.instanceIn('windhoek');
      const { text, ids } = await ask('windhoek');
      assert.equal(text, WHOLE);
      assert.equal(ids.size, 1);
      assert.equal(logger.of(STREAM_EVENTS.resumed).length, 1);
    });
  }

  it('is cut short so that no client takes it for whole, where it cannot be continued', async () => {
    // The answer calls a tool, which an engine can't take up in the middle. The caller must see a failure, not
    // half an answer that looks finished.
    home.behaviour.dropAfterTokens = 17;
    away.behaviour.dropAfterTokens = 17;
    const tools = [{ type: 'function', function: { name: 'stock', parameters: {} } }];
    await assert.rejects(ask('windhoek', { tools }));

    const { node } = fleet.instanceIn('windhoek');
    const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization },
      body: JSON.stringify({ model: 'kit-large', messages: [], stream: true, tools }),
    });
    let raw = '';
    await assert.rejects(async () => {
      for await (const chunk of answer.body) raw += String(chunk);
    });
    assert.match(raw, /\n\nevent: error\ndata: \{"error":\{.*"outcome":"unknown"/);
    assert.doesNotMatch(raw, /\[DONE\]/);
  });

  it('is cut short after its second engine was lost as well', async () => {
    // A prompt that crashes engines must not be carried from one to the next until none is left.
    home.behaviour.dropAfterTokens = 5;
    away.behaviour.dropAfterTokens = 9;
    const ranBefore = home.ledger.entries.length + away.ledger.entries.length;
    await assert.rejects(ask('windhoek'));
    assert.equal(home.ledger.entries.length + away.ledger.entries.length, ranBefore + 2);
  });

  it('is cancelled at the engine when its caller goes, also across regions', async () => {
    // The client hangs up. Its engine must not go on generating what nobody will read.
    for (const region of ['windhoek', 'rundu'] as const) {
      for (const { behaviour } of [home, away]) behaviour.tokenIntervalMs = 20;
      const before = home.cancelledCount() + away.cancelledCount();
      const gone = new AbortController();
      const { node } = fleet.instanceIn(region);
      const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization },
        body: JSON.stringify({ model: 'kit-large', messages: [], stream: true }),
        signal: gone.signal,
      });
      answer.body.on('error', () => {});
      gone.abort();
      await waitFor(
        () => home.cancelledCount() + away.cancelledCount() === before + 1,
        `the engine's work to be cancelled from ${region}`,
      );
    }
  });
});

describe('an answer that is read slowly', () => {
  const OFFERED_BYTES = 256 * 1024 * 1024;
  /** Buffers of the system on each of at most four connections, and those of the processes. */
  const MAX_TAKEN_BYTES = 64 * 1024 * 1024;

  for (const region of ['windhoek', 'rundu'] as const) {
    it(`holds back its server and not the memory of instances, asked for in ${region}`, async () => {
      // A client on a bad line asks for a large answer and stops reading. An instance that went on reading
      // from the server would fill its memory, and fail all its other callers.
      const chunk = Buffer.alloc(64 * 1024);
      let takenBytes = 0;
      const server = createServer((incoming, response) => {
        incoming.resume();
        const write = () => {
          while (takenBytes < OFFERED_BYTES && !response.destroyed) {
            takenBytes += chunk.length;
            if (!response.write(chunk)) {
              response.once('drain', write);
              return;
            }
          }
          response.end();
        };
        write();
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const fleet = await startSmallFleet();
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
      fleet.publish({
        ...fleet.configuration,
        version: 2,
        backendServers: fleet.configuration.backendServers.map((one) =>
          one.service === 'orders' ? { ...one, address } : one,
        ),
      });
      await waitFor(
        () => fleet.instances.every(({ node }) => node.configurationVersion() === 2),
        'version 2 everywhere',
      );
      const { node } = fleet.instanceIn(region);
      const gone = new AbortController();
      const answer = await request(`http://${node.callerAddress}/services/orders/plan`, {
        headers: { authorization },
        signal: gone.signal,
      });
      answer.body.on('error', () => {});
      // Not read: the server is asked for no more once all buffers on the way are full.
      let lastBytes = -1;
      let sameRounds = 0;
      await waitFor(() => {
        sameRounds = takenBytes === lastBytes ? sameRounds + 1 : 0;
        lastBytes = takenBytes;
        return sameRounds > 60;
      }, 'the server to be held back');
      assert.ok(takenBytes < MAX_TAKEN_BYTES, `${takenBytes} bytes were taken`);
      gone.abort();
      await fleet[Symbol.asyncDispose]();
      server.closeAllConnections();
      server.close();
    });
  }
});
