import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { z } from 'zod';
import { NODE_EVENTS } from '../src/core/node';
import type { Settings } from '../src/core/settings';

/** Addresses of a running instance, from its first log line. */
const startedSchema = z.object({
  event: z.literal(NODE_EVENTS.started.id),
  callerAddress: z.string(),
  peerListenAddress: z.string(),
  operatorAddress: z.string(),
});

/** `IP:PORT` of each listener. */
export type InstanceAddresses = Omit<z.output<typeof startedSchema>, 'event'>;

/** An instance in a process of its own, as in production. */
export interface InstanceProcess extends AsyncDisposable {
  readonly settings: Settings;
  readonly addresses: InstanceAddresses;
  /** The latest lines of its log. */
  readonly logTail: readonly string[];
  /** Requests a graceful stop; resolves with the exit code. */
  stop(): Promise<number | null>;
  /** Kills the process, as the loss of its machine would. */
  kill(): Promise<void>;
}

const LOG_LINES_KEPT = 40;

function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
}

function parseStarted(line: string): InstanceAddresses | undefined {
  try {
    return startedSchema.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
}

/**
 * Resolves with the addresses that the process logs. Each listener uses any free port: one that was chosen beforehand may
 * be in use by the time the process listens.
 */
function readAddresses(child: ChildProcess, tail: string[]): Promise<InstanceAddresses> {
  return new Promise((resolve, reject) => {
    if (child.stdout === null) throw new Error('the log is not piped');
    createInterface({ input: child.stdout }).on('line', (line) => {
      tail.push(line);
      if (tail.length > LOG_LINES_KEPT) tail.shift();
      const addresses = parseStarted(line);
      if (addresses !== undefined) resolve(addresses);
    });
    child.once('exit', () => reject(new Error(`the instance did not start:\n${tail.join('\n')}`)));
  });
}

/** Starts `coltsfootworks serve` with its settings on standard input, and waits until it listens. */
export async function startInstanceProcess(settings: Settings): Promise<InstanceProcess> {
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', 'src/main.ts', 'serve', '--settings', '-'],
    { stdio: ['pipe', 'pipe', 'ignore'] },
  );
  child.stdin.end(JSON.stringify(settings));
  const logTail: string[] = [];
  const addresses = await readAddresses(child, logTail);

  const stop = () => {
    child.kill('SIGTERM');
    return waitForExit(child);
  };
  return {
    settings,
    addresses,
    logTail,
    stop,
    async kill() {
      child.kill('SIGKILL');
      await waitForExit(child);
    },
    async [Symbol.asyncDispose]() {
      await stop();
    },
  };
}
