import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { keyDigest } from '../../core/access';
import { NODE_EVENTS } from '../../core/node';
import { waitFor } from '../../testing';
import { openEngineStandIn } from '../../../standins/engine';
import { openPlatformStandIn } from '../../../standins/platform';

const KEY = 'key-of-a-caller';
const listener = { host: '127.0.0.1', port: 0 };

const configurationBefore = (engineAddress: string) => ({
  version: 1,
  deployment: 'omaruru',
  regions: [{ name: 'rundu', failureDomains: ['rundu-a'] }],
  services: [{ kind: 'model', name: 'kit-assistant', regions: ['rundu'], models: ['kit-large'] }],
  backendServers: [
    {
      id: 'engine-1',
      service: 'kit-assistant',
      region: 'rundu',
      failureDomain: 'rundu-a',
      address: engineAddress,
    },
  ],
  callers: [{ id: 'builder', keySha256: keyDigest(KEY), regions: ['rundu'] }],
});

interface Line {
  readonly event: number;
  readonly callerAddress?: string;
  readonly callerRequests?: number;
}

describe('the process', () => {
  // An operator cannot wait for a long answer and signals again. The process must go at once, and the log must
  // say what that cost, since the callers that were cut are told nothing.
  it('ends at the second signal and says how many requests it cut', async () => {
    await using engine = await openEngineStandIn({ answerTokens: Infinity, tokenIntervalMs: 20 });
    await using platform = await openPlatformStandIn();
    platform.publish(
      'coltsfootworks/configuration',
      JSON.stringify(configurationBefore(engine.address)),
    );
    const settings = {
      instanceId: 'rundu-a',
      region: 'rundu',
      failureDomain: 'rundu-a',
      listeners: { callers: listener, peers: listener, operators: listener },
      peerSecret: 'a-secret-shared-by-all',
      operatorKey: 'a-key-for-operators',
      platform: { configurationUrl: `http://${platform.address}` },
    };
    const child = spawn(process.execPath, ['--import', 'tsx', 'src/main.ts', 'serve'], {
      env: { ...process.env, COLTSFOOTWORKS_SETTINGS: JSON.stringify(settings) },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const ended = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    const lines: Line[] = [];
    createInterface({ input: child.stderr }).on('line', (text) =>
      lines.push(JSON.parse(text) as Line),
    );
    const lineOf = (id: number) => lines.find((line) => line.event === id);

    try {
      await waitFor(() => lineOf(NODE_EVENTS.started.id) !== undefined, 'the start');
      const address = lineOf(NODE_EVENTS.started.id)?.callerAddress ?? '';
      const isReady = async () =>
        (await request(`http://${address}/readyz`).then(async ({ statusCode, body }) => {
          await body.dump();
          return statusCode;
        })) === 200;
      await waitFor(isReady, 'readiness');
      const open = await request(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
      });
      const cut = assert.rejects(open.body.text());
      child.kill('SIGTERM');
      await waitFor(() => lineOf(NODE_EVENTS.stopping.id) !== undefined, 'the first signal');
      child.kill('SIGTERM');
      assert.equal(await ended, 1);
      await cut;
      assert.equal(lineOf(NODE_EVENTS.cutShort.id)?.callerRequests, 1);
    } finally {
      child.kill('SIGKILL');
    }
  });
});
