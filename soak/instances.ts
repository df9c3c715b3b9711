import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { createConnection } from 'node:net';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { callerAddress, processSettings } from '../platform/testing/process-settings';
import { endChildrenWithProcess } from '../src/testing';
import { openFaultProxy } from '../standins/fault-proxy';
import type { FaultProxy } from '../standins/fault-proxy';
import type { StandIn } from '../standins/listen';
import type { InstanceEnd, InstanceInterruption } from './types';

/** Instances that run as processes, each with its own proxy to the store. */
export interface SoakInstances extends AsyncDisposable {
  readonly count: number;
  callerAddress(index: number): string;
  /** Returns the process of an instance; undefined while it is restarted. */
  processId(index: number): number | undefined;
  /** Returns the proxy between an instance and the store. */
  storeProxy(index: number): FaultProxy;
  /** Sends a signal to the process of an instance if it runs. */
  signal(index: number, signal: NodeJS.Signals): void;
  /**
   * Ends the process of an instance by a signal, and starts none before `awayMs` have passed; an instance without a process
   * stays away for so long. Resolves once a later process accepts connections.
   */
  end(index: number, signal: 'SIGKILL' | 'SIGTERM', awayMs: number): Promise<void>;
  /** Ends of processes that no signal had asked for. */
  readonly unexpectedEnds: readonly InstanceEnd[];
  /** Times in which processes were stopped, and moments at which a signal ended one at once; a lasting stop has no end yet. */
  readonly interruptions: readonly InstanceInterruption[];
}

/** Options of `startSoakInstances`. */
export interface SoakInstancesOptions {
  readonly count: number;
  /** Opens the store as an instance sees it. */
  readonly openStore: (index: number) => Promise<StandIn>;
  readonly logFolder: string;
  /** Returns the delay before a process that has exited is restarted, ms; 300 for all if absent. */
  readonly restartDelayMs?: ((index: number) => number) | undefined;
  /** Returns the bundle that an instance runs; the one that was built last for all if absent. */
  readonly bundle?: ((index: number) => string) | undefined;
  /** Number of regions; 3 if absent. */
  readonly regionCount?: number | undefined;
}

/** Signals that end a process at once; SIGTERM does if it comes twice. */
const ENDING_SIGNALS: readonly (NodeJS.Signals | null)[] = ['SIGKILL', 'SIGTERM'];
const BUNDLE = 'target/coltsfootworks.cjs';
/** Delay before a process that has exited is restarted, ms. */
const RESTART_DELAY_MS = 300;
/** Interval between attempts to connect to an instance that starts, ms. */
const CONNECT_INTERVAL_MS = 50;
/** Loopback network of this run; several runs may be in progress on one machine. */
const NET = `127.${20 + (Math.floor(process.pid / 250) % 60)}.${1 + (process.pid % 250)}`;
const hostOf = (index: number) => `${NET}.${1 + index}`;

/** Returns whether an address accepts connections. */
async function accepts(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':');
  const socket = createConnection({ host, port: Number(port) });
  try {
    await once(socket, 'connect');
    return true;
  } catch {
    // The process that is to listen there has not started yet.
    return false;
  } finally {
    socket.destroy();
  }
}

/** Starts instances, and restarts each whenever it exits. */
export async function startSoakInstances(options: SoakInstancesOptions): Promise<SoakInstances> {
  const { count, logFolder, regionCount } = options;
  const { restartDelayMs = () => RESTART_DELAY_MS, bundle = () => BUNDLE } = options;
  const folder = mkdtempSync(join(tmpdir(), 'soak-'));
  const running = new Map<number, ChildProcess>();
  const stores: StandIn[] = [];
  const storeProxies: FaultProxy[] = [];
  const ending = endChildrenWithProcess(() => running.values());
  const interruptions: (Omit<InstanceInterruption, 'toMs'> & { toMs: number })[] = [];
  /** When the last signal was sent to the process of an instance, Unix ms. */
  const signalledAtMs = new Map<number, number>();
  /** Processes that a signal has asked to end. */
  const asked = new WeakSet<ChildProcess>();
  const unexpectedEnds: InstanceEnd[] = [];
  /** Monotonic time before which no process of an instance is started, ms. */
  const awayUntilMs = new Map<number, number>();
  let isEnding = false;

  const recordStop = (instance: number): void => {
    interruptions.push({ instance, fromMs: Date.now(), toMs: Infinity });
  };

  const recordContinuation = (instance: number): void => {
    for (const stop of interruptions) {
      if (stop.instance === instance && stop.toMs === Infinity) stop.toMs = Date.now();
    }
  };

  const keepAway = (index: number, forMs: number): void => {
    const untilMs = performance.now() + forMs;
    awayUntilMs.set(index, Math.max(untilMs, awayUntilMs.get(index) ?? 0));
  };

  const start = (index: number): void => {
    if (isEnding) return;
    const waitMs = (awayUntilMs.get(index) ?? 0) - performance.now();
    if (waitMs > 0) {
      setTimeout(() => start(index), waitMs).unref();
      return;
    }
    const log = openSync(join(logFolder, `instance-${index}.log`), 'a');
    const child = spawn(process.execPath, ['--max-old-space-size=200', bundle(index)], {
      env: { ...process.env, COLTSFOOTWORKS_NODE_FILE: join(folder, `${index}.json`) },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    running.set(index, child);
    child.once('exit', (code, signal) => {
      running.delete(index);
      const atMs = Date.now();
      if (!asked.has(child) && !isEnding) {
        unexpectedEnds.push({ instance: index, atMs, how: String(signal ?? code) });
      }
      recordContinuation(index);
      if (ENDING_SIGNALS.includes(signal)) {
        const fromMs = signalledAtMs.get(index) ?? atMs;
        interruptions.push({ instance: index, fromMs, toMs: atMs });
      }
      keepAway(index, restartDelayMs(index));
      start(index);
    });
  };

  for (let index = 0; index < count; index += 1) {
    const store = await options.openStore(index);
    stores.push(store);
    const proxy = await openFaultProxy(store.address);
    storeProxies.push(proxy);
    const settings = processSettings({ index, hostOf, storeAddress: proxy.address, regionCount });
    writeFileSync(join(folder, `${index}.json`), JSON.stringify(settings));
    start(index);
  }

  const signalTo = (index: number, signal: NodeJS.Signals): void => {
    const child = running.get(index);
    if (child === undefined) return;
    signalledAtMs.set(index, Date.now());
    if (ENDING_SIGNALS.includes(signal)) asked.add(child);
    if (signal === 'SIGSTOP') recordStop(index);
    if (signal === 'SIGCONT') recordContinuation(index);
    child.kill(signal);
  };

  return {
    count,
    callerAddress: (index) => callerAddress({ index, hostOf }),
    processId: (index) => running.get(index)?.pid,
    storeProxy(index) {
      const proxy = storeProxies[index];
      if (proxy === undefined) throw new RangeError(`there is no instance ${index}`);
      return proxy;
    },
    interruptions,
    unexpectedEnds,
    signal: signalTo,
    async end(index, signal, awayMs) {
      const ended = running.get(index);
      keepAway(index, awayMs);
      signalTo(index, signal);
      const isBack = async (): Promise<boolean> => {
        const child = running.get(index);
        return child !== undefined && child !== ended && accepts(callerAddress({ index, hostOf }));
      };
      while (!isEnding && !(await isBack())) await sleep(CONNECT_INTERVAL_MS);
    },
    async [Symbol.asyncDispose]() {
      isEnding = true;
      ending[Symbol.dispose]();
      const ended = [...running.values()].map((child) => once(child, 'exit'));
      // SIGKILL also ends a stopped process.
      for (const child of running.values()) child.kill('SIGKILL');
      await Promise.all(ended);
      await Promise.all(
        [...storeProxies, ...stores].map((opened) => opened[Symbol.asyncDispose]()),
      );
      rmSync(folder, { recursive: true });
    },
  };
}
