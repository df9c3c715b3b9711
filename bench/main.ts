import { existsSync } from 'node:fs';
import { checkBounds, readBounds, readEarlier, saveEarlier } from './runner/bounds';
import type { BoundResult } from './runner/bounds';
import { flattenFigures } from './runner/flatten';
import { writePlots } from './runner/plots';
import { runBench } from './runner/run-bench';
import type { BenchRun } from './runner/run-bench';

/**
 * Runs the benches one after another and prints each watched figure beside its bound and the figure of the
 * run that was saved last.
 *
 * `npm run bench [-- NAME...] [-- --json] [-- --save] [-- --plots]`
 */

/** Benches in the order in which they run; decisions and invariants are counted, the rest is timed. */
const BENCHES = [
  'decisions',
  'decision-cost',
  'trust',
  'fleet',
  'caller-limits',
  'server-health',
  'entry',
  'draining',
  'engine-orders',
  'edge',
];

function printResults(results: readonly BoundResult[]): void {
  console.table(
    results.map(({ bound, value, earlier, holds }) => ({
      bench: bound.bench,
      figure: bound.figure,
      value: value === undefined ? 'missing' : Number(value.toPrecision(4)),
      unit: bound.unit,
      earlier: earlier ?? '',
      'at least': bound.atLeast ?? '',
      'at most': bound.atMost ?? '',
      ok: holds ? 'yes' : 'NO',
    })),
  );
}

async function main(): Promise<number> {
  const words = process.argv.slice(2);
  const names = words.filter((word) => !word.startsWith('--'));
  const chosen = BENCHES.filter(
    (bench) =>
      existsSync(`bench/${bench}/main.ts`) && (names.length === 0 || names.includes(bench)),
  );
  const bounds = readBounds();
  const earlier = readEarlier();

  const runs: BenchRun[] = [];
  const results: BoundResult[] = [];
  for (const bench of chosen) {
    const run = await runBench(bench);
    runs.push(run);
    results.push(...checkBounds(bench, flattenFigures(run.value), bounds, earlier));
  }

  if (words.includes('--json')) console.log(JSON.stringify({ runs, results }));
  else printResults(results);
  if (words.includes('--save')) saveEarlier(results);
  if (words.includes('--plots')) writePlots(runs);
  const failed = runs.filter((run) => run.exitCode !== 0).map((run) => run.bench);
  if (failed.length > 0) console.error(`ended with a failure: ${failed.join(', ')}`);
  return failed.length === 0 && results.every(({ holds }) => holds) ? 0 : 1;
}

void main().then((code) => {
  process.exitCode = code;
});
