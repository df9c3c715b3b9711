import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { build } from 'esbuild';
import { request } from 'undici';
import { openEngineStandIn } from '../../standins/engine';
import type { EngineStandIn } from '../../standins/engine';
import { openPlatformStandIn } from '../../standins/platform';
import { keyDigest } from '../core/access';
import { createDisposableStore } from '../core/lifetime';
import { NODE_EVENTS } from '../core/node';
import { waitFor } from './wait-for';

/** One instance as a process of its own, before stand-ins. */
export interface ServeProcess extends AsyncDisposable {
  readonly child: ChildProcess;
  readonly engine: EngineStandIn;
  readonly callerAddress: string;
  /** The first log line with this event number. */
  lineOf(event: number): LogLine | undefined;
  /** Opens a streamed answer. */
  ask(): ReturnType<typeof request>;
  /** Resolves with the exit code. */
  readonly ended: Promise<number | null>;
}

/** A line of the log. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly event: number };

const KEY = 'key-of-a-caller';
const LISTENER = { host: '127.0.0.1', port: 0 };

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

const settingsBefore = (platformAddress: string) => ({
  instanceId: 'rundu-a',
  region: 'rundu',
  failureDomain: 'rundu-a',
  listeners: { callers: LISTENER, peers: LISTENER, operators: LISTENER },
  peerSecret: 'a-secret-shared-by-all',
  operatorKey: 'a-key-for-operators',
  platform: { configurationUrl: `http://${platformAddress}` },
});

async function buildBundle(outfile: string): Promise<void> {
  await build({
    entryPoints: ['src/main.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'silent',
  });
}

/** Bundles the program as it ships, starts it and waits until it is ready. */
export async function startServeProcess(
  environment: Readonly<Record<string, string>> = {},
): Promise<ServeProcess> {
  const owned = createDisposableStore();
  const engine = owned.add(await openEngineStandIn());
  const platform = owned.add(await openPlatformStandIn());
  const configuration = JSON.stringify(configurationBefore(engine.address));
  platform.publish('coltsfootworks/configuration', configuration);

  const settings = JSON.stringify(settingsBefore(platform.address));
  const directory = await mkdtemp(join(tmpdir(), 'coltsfootworks-'));
  owned.defer(() => rm(directory, { recursive: true }));
  const bundle = join(directory, 'bundle.cjs');
  await buildBundle(bundle);
  const child = spawn(process.execPath, [bundle, 'serve'], {
    // Without the loader that the test runner hands down: what runs is what ships.
    env: { ...process.env, NODE_OPTIONS: '', ...environment, COLTSFOOTWORKS_SETTINGS: settings },
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  owned.defer(() => {
    child.kill('SIGKILL');
  });
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', resolve);
  });
  const lines: LogLine[] = [];
  createInterface({ input: child.stdout }).on('line', (text) => {
    if (text.startsWith('{')) lines.push(JSON.parse(text) as LogLine);
  });
  const lineOf = (event: number) => lines.find((line) => line.event === event);

  const hasStarted = () => lineOf(NODE_EVENTS.started.id) !== undefined || child.exitCode !== null;
  await waitFor(hasStarted, 'the start');
  const callerAddress = String(lineOf(NODE_EVENTS.started.id)?.callerAddress ?? '');
  if (child.exitCode === null) {
    await waitFor(async () => {
      const { statusCode, body } = await request(`http://${callerAddress}/readyz`);
      await body.dump();
      return statusCode === 200;
    }, 'readiness');
  }

  return {
    child,
    engine,
    callerAddress,
    lineOf,
    ended,
    ask: () =>
      request(`http://${callerAddress}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${KEY}` },
        body: JSON.stringify({ model: 'kit-large', stream: true, messages: [] }),
      }),
    [Symbol.asyncDispose]: () => owned[Symbol.asyncDispose](),
  };
}
