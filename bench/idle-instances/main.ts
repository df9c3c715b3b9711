/**
 * What an instance costs without callers: processor time until it listens, processor time a second once the fleet has
 * settled, and calls to the store, by the size of the fleet. Real processes of the platform's bundle on loopback;
 * `node scripts/build-platform.mjs` builds it. Arguments: sizes of fleets, 8 and 24 where none is given.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { TEST_CONFIGURATION } from '../../platform/testing/gateway';
import { domainOf, processSettings } from '../../platform/testing/process-settings';
import { endChildrenWithProcess } from '../../src/testing';
import { openStoreStandIn, serverEntry } from '../../standins/published-store';
import { processorTimeMs } from './processor-time';

const BUNDLE = 'target/coltsfootworks.cjs';
const SERVERS = 24;
/** Time in which instances find one another and agree on who watches, ms. */
const SETTLING_MS = 10_000;
const MEASURED_MS = 10_000;
/** Processes that may run at once on a machine that is used for other things as well. */
const MAX_INSTANCES = 100;
const MS_PER_S = 1_000;
/** Number of the line with which an instance says that it listens. */
const LISTENS = '"event":4201';

const INSTANCES_PER_NET = 200;

/** Loopback address of one instance. */
function hostOf(index: number): string {
  return `127.0.${2 + Math.floor(index / INSTANCES_PER_NET)}.${1 + (index % INSTANCES_PER_NET)}`;
}

interface Started {
  readonly child: ChildProcess;
  readonly processId: number;
  /** Processor time until it listened, ms. */
  readonly startMs: number;
}

const folder = mkdtempSync(join(tmpdir(), 'idle-instances-'));

async function startOne(index: number, storeAddress: string): Promise<Started> {
  const settingsPath = join(folder, `${index}.json`);
  writeFileSync(settingsPath, JSON.stringify(processSettings({ index, hostOf, storeAddress })));
  const child = spawn(process.execPath, ['--max-old-space-size=200', BUNDLE], {
    env: { ...process.env, COLTSFOOTWORKS_NODE_FILE: settingsPath },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const { pid: processId } = child;
  if (processId === undefined) throw new Error('the instance did not start');
  for await (const chunk of child.stdout) if (String(chunk).includes(LISTENS)) break;
  return { child, processId, startMs: processorTimeMs(processId) };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function measure(count: number) {
  await using store = await openStoreStandIn();
  store.put('op/config', TEST_CONFIGURATION);
  for (let index = 0; index < SERVERS; index += 1) {
    const entry = serverEntry(`127.0.1.${index + 1}:8502`, { Zone: domainOf(index) });
    store.put(`servers/s-${index}`, entry);
  }
  const started: Started[] = [];
  const ending = endChildrenWithProcess(() => started.map(({ child }) => child));
  try {
    // One after the other, so that the time until each listens is its own.
    for (let index = 0; index < count; index += 1) {
      started.push(await startOne(index, store.address));
    }
    await sleep(SETTLING_MS);
    const before = started.map(({ processId }) => processorTimeMs(processId));
    const callsBefore = store.calls.watch;
    await sleep(MEASURED_MS);
    const spent = started.map(
      ({ processId }, index) => processorTimeMs(processId) - (before[index] ?? 0),
    );
    const perSecond = (value: number) => Number(((value * MS_PER_S) / MEASURED_MS).toFixed(1));
    return {
      instances: count,
      'until it listens, ms': Math.round(median(started.map(({ startMs }) => startMs))),
      'idle, ms/s': perSecond(median(spent)),
      'idle, busiest, ms/s': perSecond(Math.max(...spent)),
      'calls to the store while it settles': callsBefore,
      'calls to the store, /s': perSecond(store.calls.watch - callsBefore),
    };
  } finally {
    ending[Symbol.dispose]();
    for (const { child } of started) child.kill('SIGKILL');
    await Promise.all(
      started.map(async ({ child }) => {
        if (child.exitCode === null && child.signalCode === null) await once(child, 'exit');
      }),
    );
  }
}

const sizes = process.argv.slice(2).map(Number);
const fleets = sizes.length === 0 ? [8, 24] : sizes;
if (fleets.some((size) => !Number.isInteger(size) || size < 1 || size > MAX_INSTANCES)) {
  throw new Error(`Give sizes of fleets between 1 and ${MAX_INSTANCES}.`);
}
const rows = [];
for (const size of fleets) rows.push(await measure(size));
rmSync(folder, { recursive: true });
console.table(rows);
