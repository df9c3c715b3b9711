import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

/** Place of a machine. */
export interface Place {
  readonly zone: string;
  readonly region: string;
}

/** A process of the system on its own loopback address. */
export interface Gateway {
  readonly name: string;
  readonly host: string;
  readonly frontPort: number;
  /** Id of the process; undefined while it does not run. */
  processId(): number | undefined;
  /** How the process ended last; undefined while it runs. */
  ended(): string | undefined;
  signal(signal: NodeJS.Signals): void;
  /** Starts a process that has ended again, with the same settings. */
  start(): void;
  /** Has the reader of what the process writes stop reading. */
  pauseLogs(): void;
  resumeLogs(): void;
}

/** The processes of one deployment. */
export interface Deployment {
  readonly gateways: readonly Gateway[];
  close(): void;
}

const PORTS = { Front: 18_144, Ready: 18_140, Control: 18_146, Directory: 18_143 };
const PORT_RANGE = [17_660, 17_675];
/** As in the example of the pages. */
const BOUNDS = {
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
const READY_TIMEOUT_MS = 20_000;
const ENDING_SIGNALS: readonly NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGHUP'];

/** Loopback network of this process; several cases may run at the same time. */
export const NET = `127.${100 + (Math.floor(process.pid / 250) % 100)}.${1 + (process.pid % 250)}`;

function settingsOf(index: number, places: readonly Place[], storeAddress: string): object {
  const ip = `${NET}.${10 + index}`;
  const place = places[index];
  const listen = Object.entries(PORTS).map(([name, port]) => [name, `${ip}:${port}`]);
  const seeds = places.slice(0, 3).map((_, seed) => `${NET}.${10 + seed}:${PORTS.Control}`);
  return {
    Node: `front-${place?.zone}-${index + 1}`,
    Role: 'gateway',
    Class: 'front',
    Serves: ['front', 'control', 'directory'],
    Ip: ip,
    Zone: place?.zone,
    Region: place?.region,
    Zones: Object.fromEntries(places.map(({ zone, region }) => [zone, region])),
    Listen: Object.fromEntries(listen),
    PortRange: PORT_RANGE,
    Seeds: seeds,
    Bootstrap: true,
    CountsAsLoss: false,
    Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4_100, LinkMbps: 1_000, DiskMb: 0 },
    DataDir: null,
    Discovery: 'platform',
    Entry: 'directory',
    HeartbeatMs: 1_200,
    FaultTolerance: { Machines: 2, Zones: 1, Regions: 1 },
    Bounds: BOUNDS,
    Platform: {
      Address: storeAddress,
      form: 'read',
      ReadsPerS: 2_000,
      HistoryS: 20,
      ValueBytes: 1_048_576,
    },
  };
}

function isReady(host: string): Promise<boolean> {
  return new Promise((resolve) => {
    const asked = get({ host, port: PORTS.Ready, path: '/ready', agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    asked.setTimeout(1_000, () => asked.destroy());
    asked.on('error', () => resolve(false));
  });
}

/** Starts one process a place with the command of the deploy file, and waits until all are ready. */
export async function startGateways(
  places: readonly Place[],
  storeAddress: string,
  onLogLine: (gateway: string, line: string) => void = () => {},
): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const children = new Set<ChildProcess>();
  const close = (): void => {
    for (const child of children) child.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  };
  process.once('exit', close);
  for (const signal of ENDING_SIGNALS) process.once(signal, () => process.exit(2));

  const gateways = places.map((_, index): Gateway => {
    const path = join(folder, `${index}.json`);
    writeFileSync(path, JSON.stringify(settingsOf(index, places, storeAddress)));
    const name = `machine-${index + 1}`;
    let ended: string | undefined;
    let child: ChildProcess | undefined;
    const start = (): void => {
      ended = undefined;
      const started = spawn(
        process.execPath,
        ['--max-old-space-size=200', 'target/coltsfootworks.cjs'],
        {
          env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            LANG: process.env.LANG,
            COLTSFOOTWORKS_NODE_FILE: path,
          },
          stdio: ['ignore', 'pipe', 'pipe'],
        },
      );
      child = started;
      children.add(started);
      started.once('exit', (code, signal) => {
        children.delete(started);
        ended = signal ?? `status ${code}`;
      });
      for (const output of [started.stdout, started.stderr]) {
        let held = '';
        output.on('data', (chunk: Buffer) => {
          const lines = (held + chunk.toString('utf8')).split('\n');
          held = lines.pop() ?? '';
          for (const line of lines) onLogLine(name, line);
        });
      }
    };
    start();
    return {
      name,
      host: `${NET}.${10 + index}`,
      frontPort: PORTS.Front,
      processId: () => (ended === undefined ? child?.pid : undefined),
      ended: () => ended,
      signal(signal) {
        child?.kill(signal);
      },
      start,
      pauseLogs() {
        child?.stdout?.pause();
      },
      resumeLogs() {
        child?.stdout?.resume();
      },
    };
  });

  const untilMs = performance.now() + READY_TIMEOUT_MS;
  for (const { host, name, ended } of gateways) {
    while (!(await isReady(host))) {
      if (performance.now() > untilMs || ended() !== undefined) {
        throw new Error(`${name} does not become ready (${ended() ?? 'it runs'})`);
      }
      await sleep(100);
    }
  }
  return { gateways, close };
}
