import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

/** Runs the project's own program with the command of the deploy file, one process an instance. */

/** Where an instance stands. */
export interface Place {
  readonly zone: string;
  readonly region: string;
}

export interface GatewaysOptions {
  readonly places: readonly Place[];
  readonly storeAddress: string;
  readonly bounds?: Readonly<Record<string, unknown>>;
  readonly limits?: Readonly<Record<string, unknown>>;
  readonly contracts?: readonly string[];
  /** Address of the store as one instance knows it. */
  readonly storeAddressOf?: (index: number) => string;
}

export interface Gateways extends AsyncDisposable {
  readonly count: number;
  host(index: number): string;
  front(index: number): string;
  directory(index: number): string;
  readonly ports: Ports;
  start(index: number): void;
  signal(index: number, signal: NodeJS.Signals): void;
  /** Exit codes and signals of processes that ended, with their times. */
  readonly ends: { readonly index: number; readonly atMs: number; readonly how: string }[];
  isRunning(index: number): boolean;
  /** Resolves to false if the instance is not ready within the time. */
  whenReady(index: number, withinMs?: number): Promise<boolean>;
  exited(index: number): Promise<void>;
  logPath(index: number): string;
}

export interface Ports {
  readonly front: number;
  readonly ready: number;
  readonly control: number;
  readonly directory: number;
  readonly rangeStart: number;
}

const BUNDLE = 'target/coltsfootworks.cjs';
const PORT_RANGE_SIZE = 16;

function choosePorts(): Ports {
  const base = 21_000 + (process.pid % 800) * 25;
  return {
    front: base,
    ready: base + 1,
    control: base + 2,
    directory: base + 3,
    rangeStart: base + 5,
  };
}

/** Returns the network of a run: a loopback network of its own. */
export function loopbackNet(): string {
  return `127.${40 + (Math.floor(process.pid / 250) % 150)}.${1 + (process.pid % 250)}`;
}

export const BOUNDS: Readonly<Record<string, unknown>> = {
  SeedLagS: 3,
  ReuseDelayS: 2,
  StableWindowMs: 5_000,
  AckTimeoutMs: 6_000,
  CatchUpS: 4,
  DrainMs: 3_000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 3_000,
  RollbackSlackMs: 250,
  MaxStretchMs: 8_000,
  BudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetSlack: 56,
  ColdOver: 1.5,
  ColdSlack: 3,
  EvacuateMs: 5_000,
  RecoveryS: 12,
  PassMs: 600,
  ReuseWindowS: 10,
  ttl_max_s: 5,
};

export async function startGateways(options: GatewaysOptions): Promise<Gateways> {
  const { places, storeAddress } = options;
  const ports = choosePorts();
  const net = loopbackNet();
  const folder = mkdtempSync(join(tmpdir(), 'gateways-'));
  const running = new Map<number, ChildProcess>();
  const ends: { index: number; atMs: number; how: string }[] = [];
  const host = (index: number) => `${net}.${10 + index}`;
  const zones = Object.fromEntries(places.map(({ zone, region }) => [zone, region]));
  const logPath = (index: number) => join(folder, `${index}.log`);

  places.forEach(({ zone, region }, index) => {
    const ip = host(index);
    const settings = {
      Node: `front-${zone}-${index}`,
      Role: 'gateway',
      Class: 'front',
      Serves: ['front', 'control', 'directory'],
      Ip: ip,
      Zone: zone,
      Region: region,
      Zones: zones,
      Listen: {
        Front: `${ip}:${ports.front}`,
        Ready: `${ip}:${ports.ready}`,
        Control: `${ip}:${ports.control}`,
        Directory: `${ip}:${ports.directory}`,
      },
      PortRange: [ports.rangeStart, ports.rangeStart + PORT_RANGE_SIZE - 1],
      Seeds: [0, 1, 2]
        .filter((seed) => seed < places.length)
        .map((seed) => `${host(seed)}:${ports.control}`),
      Bootstrap: true,
      CountsAsLoss: false,
      Limits: {
        CpuShare: 0.675,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4_100,
        LinkMbps: 1_000,
        DiskMb: 0,
        ...options.limits,
      },
      DataDir: null,
      Discovery: 'platform',
      Entry: 'directory',
      HeartbeatMs: 1_200,
      Contracts: options.contracts ?? [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'places',
        'platform',
      ],
      FaultTolerance: { Machines: 2, Zones: 1, Regions: 1 },
      Bounds: { ...BOUNDS, ...options.bounds },
      Platform: {
        Address: options.storeAddressOf?.(index) ?? storeAddress,
        form: 'read',
        WritesPerS: 400,
        ReadsPerS: 2_000,
        HistoryS: 20,
        ValueBytes: 1_048_576,
        TtlMinMs: 1_000,
      },
    };
    writeFileSync(join(folder, `${index}.json`), JSON.stringify(settings));
  });

  const start = (index: number): void => {
    if (running.has(index)) return;
    const log = openSync(logPath(index), 'a');
    const child = spawn(process.execPath, ['--max-old-space-size=200', BUNDLE], {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        COLTSFOOTWORKS_NODE_FILE: join(folder, `${index}.json`),
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    running.set(index, child);
    child.once('exit', (code, signal) => {
      if (running.get(index) === child) running.delete(index);
      ends.push({ index, atMs: Date.now(), how: String(signal ?? code) });
    });
  };

  const isReady = (index: number): Promise<boolean> =>
    new Promise((resolve) => {
      const asked = get(
        { host: host(index), port: ports.ready, path: '/ready', agent: false, timeout: 1_000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      asked.on('timeout', () => asked.destroy());
      asked.on('error', () => resolve(false));
    });

  const endAll = (): void => {
    for (const child of running.values()) child.kill('SIGKILL');
  };
  const exit = (): never => process.exit(2);
  const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
  process.once('exit', endAll);
  for (const signal of endingSignals) process.once(signal, exit);

  return {
    count: places.length,
    host,
    front: (index) => `${host(index)}:${ports.front}`,
    directory: (index) => `${host(index)}:${ports.directory}`,
    ports,
    start,
    signal(index, signal) {
      running.get(index)?.kill(signal);
    },
    ends,
    isRunning: (index) => running.has(index),
    async whenReady(index, withinMs = 15_000) {
      const untilMs = Date.now() + withinMs;
      while (Date.now() < untilMs) {
        if (await isReady(index)) return true;
        await sleep(50);
      }
      return false;
    },
    async exited(index) {
      const child = running.get(index);
      if (child !== undefined) await once(child, 'exit');
    },
    logPath,
    async [Symbol.asyncDispose]() {
      const all = [...running.values()];
      const ended = all.map((child) => once(child, 'exit'));
      // SIGKILL also ends a process that is stopped.
      endAll();
      await Promise.all(ended);
      process.off('exit', endAll);
      for (const signal of endingSignals) process.off(signal, exit);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
