/**
 * Has instances of the platform's bundle serve requests for a moment, and keeps the compiled code of one of them.
 *
 * An instance that starts after a loss of power has a fraction of a core and all callers waiting. What it has to compile
 * while the first of them wait makes those late. Code that ran here need not be compiled there; so this runs what the
 * first requests run: streams and whole answers, failures and repeats, requests to another region, changes of what is published.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { TEST_CONFIGURATION } from '../platform/testing/gateway';
import {
  callerAddress,
  domainOf,
  processSettings,
  regionOf,
} from '../platform/testing/process-settings';
import {
  chunkOf,
  openAnnouncedServer,
  streamHead,
  wholeAnswer,
} from '../standins/announced-server';
import type { AnnouncedServer, ServerScript } from '../standins/announced-server';
import { endChildrenWithProcess } from '../src/testing';
import { openStoreStandIn, serverEntry } from '../standins/published-store';

const [bundle = '', ...nodeFlags] = process.argv.slice(2);
const HOST = 'kits.example';
const INSTANCES = 4;
/** The instance whose code is kept. */
const KEPT = 0;
const SERVERS = 6;
const ROUNDS = 30;
const EVENTS = 12;
/** One answer in so many is a failure of the server. */
const FAILURE_EVERY = 9;
/** Rest between two questions whether the instance serves, ms, and how often it is asked. */
const ASK_AGAIN_MS = 100;
const MOST_QUESTIONS = 200;
/** Time in which instances find one another after that, ms. */
const SETTLING_MS = 1_000;
/** Each run has addresses of its own, since several may build on one machine. */
const hostOf = (index: number) =>
  `127.${100 + (Math.floor(process.pid / 250) % 100)}.${1 + (process.pid % 250)}.${1 + index}`;

const CONFIGURATION = {
  ...TEST_CONFIGURATION,
  Routes: [
    ...TEST_CONFIGURATION.Routes,
    { ...TEST_CONFIGURATION.Routes[1], Name: 'far', Prefix: '/far/', HomeRegions: [regionOf(1)] },
  ].map((route) => ({ ...route, Public: route.Name === 'stock' })),
  // One account that never spends its quota, and one that always has spent it.
  Tenants: [
    { Name: 'large', ApiKeys: ['k-large'], Unit: 'tokens', RatePerS: 200_000, Burst: 200_000 },
    { Name: 'small', ApiKeys: ['k-small'], Unit: 'tokens', RatePerS: 500, Burst: 500, Priority: 1 },
  ],
};
const KEYS = ['k-large', 'k-large', 'k-small', 'k-unknown'];

const PATHS = ['/stock/1', '/orders/1', '/plans/1', '/chat/1', '/far/1', '/nowhere'];

function createScript(): ServerScript {
  let answers = 0;
  return (asked, socket) => {
    answers += 1;
    if (answers % FAILURE_EVERY === 0) {
      socket.write(wholeAnswer(asked, 'failed', { status: 500 }));
      return;
    }
    if (!asked.path.startsWith('/plans') && !asked.path.startsWith('/chat')) {
      socket.write(wholeAnswer(asked, 'x'.repeat(800)));
      return;
    }
    socket.write(streamHead(asked));
    const from = Number(asked.headers.get('last-event-id') ?? 0) + 1;
    const events = Array.from({ length: EVENTS }, (_, index) => from + index);
    for (const id of events) socket.write(chunkOf(`id: ${id}\ndata: piece\n\n`));
    socket.write(chunkOf(''));
  };
}

/** One request of a caller; resolves with the status of its answer, 0 where there was none. */
function ask(path: string, id: string, key = 'k-large'): Promise<number> {
  const [host = '', port = ''] = callerAddress({ index: KEPT, hostOf }).split(':');
  return new Promise((resolve) => {
    const outgoing = request(
      {
        host,
        port,
        path,
        method: 'POST',
        headers: {
          host: HOST,
          'x-request-id': id,
          'x-api-key': key,
          'x-deadline-ms': '3000',
          'x-model': 'm',
          'x-token-count': '1460,80',
          'x-prefix-hash': `5c1e07a2:800,91bd3f06:410,${id.slice(-2)}402b7d:250`,
        },
      },
      (incoming) => {
        const end = () => resolve(incoming.statusCode ?? 0);
        incoming.on('end', end).on('error', end);
        incoming.resume();
      },
    );
    outgoing.on('error', () => resolve(0));
    outgoing.end('a question');
  });
}

const folder = mkdtempSync(join(tmpdir(), 'code-cache-'));

function start(index: number, storeAddress: string): ChildProcess {
  const settingsPath = join(folder, `${index}.json`);
  writeFileSync(settingsPath, JSON.stringify(processSettings({ index, hostOf, storeAddress })));
  return spawn(process.execPath, [...nodeFlags, bundle], {
    env: {
      ...process.env,
      COLTSFOOTWORKS_NODE_FILE: settingsPath,
      ...(index === KEPT ? { COLTSFOOTWORKS_WRITE_CODE_CACHE: '1' } : {}),
    },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

await using store = await openStoreStandIn();
store.put('op/config', CONFIGURATION);
const servers: AnnouncedServer[] = [];
const announce = (server: AnnouncedServer, index: number, more: object = {}) =>
  store.put(`servers/s-${index}`, serverEntry(server.address, { Zone: domainOf(index), ...more }));
for (let index = 0; index < SERVERS; index += 1) {
  const server = await openAnnouncedServer(createScript());
  servers.push(server);
  announce(server, index);
}
const instances = Array.from({ length: INSTANCES }, (_, index) => start(index, store.address));
endChildrenWithProcess(() => instances);
const [kept] = instances;
if (kept === undefined) throw new Error('no instance was started');
for (let count = 0; (await ask('/stock/1', `w-${count}`)) !== 200; count += 1) {
  if (count === MOST_QUESTIONS) throw new Error('the instance never served a request');
  await sleep(ASK_AGAIN_MS);
}
await sleep(SETTLING_MS);
for (let round = 0; round < ROUNDS; round += 1) {
  await Promise.all(
    PATHS.map((path, index) =>
      ask(path, `r-${round}-${index}`, KEYS[(round + index) % KEYS.length]),
    ),
  );
  const [server] = servers;
  // What is published changes as well: a server leaves, and is back.
  if (server !== undefined) announce(server, 0, { State: round % 2 === 0 ? 'draining' : 'ready' });
}
kept.kill('SIGUSR2');
const [code] = await once(kept, 'exit');
for (const server of servers) await server[Symbol.asyncDispose]();
rmSync(folder, { recursive: true });
process.exit(code === 0 ? 0 : 1);
