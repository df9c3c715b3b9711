import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import type { Settings } from '../src/core/settings';

/** One instance as a process of its own, as it runs in production. */
export interface InstanceProcess extends AsyncDisposable {
  readonly settings: Settings;
  /** ip:port for callers. */
  readonly callerAddress: string;
  /** The last lines that it logged. */
  readonly logTail: readonly string[];
  /** Asks for a graceful stop and resolves with the exit code. */
  stop(): Promise<number | null>;
  /** Ends it at once, as a lost machine would. */
  kill(): Promise<void>;
}

const LOG_LINES_KEPT = 40;

function waitForExit(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
}

function keepTail(child: ChildProcess, tail: string[]): void {
  child.stderr?.setEncoding('utf8');
  child.stderr?.on('data', (text: string) => {
    tail.push(...text.split('\n').filter((line) => line !== ''));
    tail.splice(0, Math.max(0, tail.length - LOG_LINES_KEPT));
  });
}

/** Starts `coltsfootworks serve` with its settings on standard input. */
export function startInstanceProcess(settings: Settings): InstanceProcess {
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', 'src/main.ts', 'serve', '--settings', '-'],
    { stdio: ['pipe', 'ignore', 'pipe'] },
  );
  child.stdin?.end(JSON.stringify(settings));
  const logTail: string[] = [];
  keepTail(child, logTail);

  const stop = () => {
    child.kill('SIGTERM');
    return waitForExit(child);
  };
  return {
    settings,
    callerAddress: `${settings.listeners.callers.host}:${settings.listeners.callers.port}`,
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
