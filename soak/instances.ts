import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { callerAddress, processSettings } from '../platform/testing/process-settings';
import { endChildrenWithProcess } from '../src/testing';
import { openFaultProxy } from '../standins/fault-proxy';
import type { FaultProxy } from '../standins/fault-proxy';

/** Instances as processes of their own, each with a proxy of its own before the store. */
export interface SoakInstances extends AsyncDisposable {
  readonly count: number;
  callerAddress(index: number): string;
  /** The way between an instance and the store. */
  storeWay(index: number): FaultProxy;
  /** Sends a signal to the process, if it runs. */
  signal(index: number, signal: NodeJS.Signals): void;
}

/** What they are started with. */
export interface SoakInstancesOptions {
  readonly count: number;
  readonly storeAddress: string;
  readonly logFolder: string;
}

const BUNDLE = 'target/coltsfootworks.cjs';
/** Rest before a process that has ended is started again, ms. */
const RESTART_AFTER_MS = 300;
/** Each run has addresses of its own, since several may run on one machine. */
const NET = `127.${20 + (Math.floor(process.pid / 250) % 60)}.${1 + (process.pid % 250)}`;
const hostOf = (index: number) => `${NET}.${1 + index}`;

/** Starts instances, and starts each again whenever it ends. */
export async function startSoakInstances(options: SoakInstancesOptions): Promise<SoakInstances> {
  const { count, storeAddress, logFolder } = options;
  const folder = mkdtempSync(join(tmpdir(), 'soak-'));
  const running = new Map<number, ChildProcess>();
  const ways: FaultProxy[] = [];
  const ending = endChildrenWithProcess(() => running.values());
  let isEnding = false;

  const start = (index: number): void => {
    if (isEnding) return;
    const log = openSync(join(logFolder, `instance-${index}.log`), 'a');
    const child = spawn(process.execPath, ['--max-old-space-size=200', BUNDLE], {
      env: { ...process.env, COLTSFOOTWORKS_NODE_FILE: join(folder, `${index}.json`) },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    running.set(index, child);
    child.once('exit', () => {
      running.delete(index);
      setTimeout(() => start(index), RESTART_AFTER_MS).unref();
    });
  };

  for (let index = 0; index < count; index += 1) {
    const way = await openFaultProxy(storeAddress);
    ways.push(way);
    const settings = processSettings({ index, hostOf, storeAddress: way.address });
    writeFileSync(join(folder, `${index}.json`), JSON.stringify(settings));
    start(index);
  }

  return {
    count,
    callerAddress: (index) => callerAddress({ index, hostOf }),
    storeWay(index) {
      const way = ways[index];
      if (way === undefined) throw new RangeError(`there is no instance ${index}`);
      return way;
    },
    signal(index, signal) {
      running.get(index)?.kill(signal);
    },
    async [Symbol.asyncDispose]() {
      isEnding = true;
      ending[Symbol.dispose]();
      const ended = [...running.values()].map((child) => once(child, 'exit'));
      // One that stands still ends at this as well.
      for (const child of running.values()) child.kill('SIGKILL');
      await Promise.all(ended);
      await Promise.all(ways.map((way) => way[Symbol.asyncDispose]()));
      rmSync(folder, { recursive: true });
    },
  };
}
