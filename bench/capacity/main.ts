import { readFileSync, writeFileSync } from 'node:fs';
import { runBench } from '../runner/run-bench';
import type { BenchRun } from '../runner/run-bench';
import { MEASURED_BENCHES, readMeasured } from './measured';
import { toMarkdown, workOutCapacity } from './work-out';

/**
 * Works out what a node costs at the target, and prints the table of docs/CAPACITY.md.
 *
 * `npm run bench:capacity [-- --json] [-- --runs FILE]`: runs the benches that it rests on, some minutes in all,
 * and keeps what they printed in FILE; with a FILE that exists it works from that.
 */

function runsPath(): string | undefined {
  const at = process.argv.indexOf('--runs');
  return at === -1 ? undefined : process.argv[at + 1];
}

function readRuns(path: string | undefined): BenchRun[] {
  if (path === undefined) return [];
  try {
    return JSON.parse(readFileSync(path, 'utf8')) as BenchRun[];
  } catch {
    return [];
  }
}

async function main(): Promise<void> {
  const path = runsPath();
  const runs = readRuns(path);
  for (const bench of MEASURED_BENCHES) {
    if (!runs.some((run) => run.bench === bench)) runs.push(await runBench(bench));
  }
  if (path !== undefined) writeFileSync(path, JSON.stringify(runs));
  const rows = workOutCapacity(readMeasured(runs));
  console.log(process.argv.includes('--json') ? JSON.stringify({ rows }) : toMarkdown(rows));
}

void main();
