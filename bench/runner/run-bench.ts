import { spawn } from 'node:child_process';
import { text } from 'node:stream/consumers';

/** What one bench printed with `--json`. */
export interface BenchRun {
  readonly bench: string;
  readonly exitCode: number | null;
  readonly value: unknown;
}

/** Runs one bench in a process of its own. */
export async function runBench(bench: string): Promise<BenchRun> {
  const child = spawn(
    process.execPath,
    ['--expose-gc', '--import', 'tsx', `bench/${bench}/main.ts`, '--json'],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', resolve);
  });
  const printed = await text(child.stdout);
  return { bench, exitCode: await exited, value: JSON.parse(printed) as unknown };
}
