/**
 * Repeats recorded decisions and compares them with their recorded outcomes.
 * `npm run replay [-- FILE...]`: without files, all recordings in traces/.
 */
import { readFileSync, readdirSync } from 'node:fs';
import process from 'node:process';
import { replayTrace } from '../src/core/decision-trace/replay';

const TRACES = 'traces';

const given = process.argv.slice(2);
const files =
  given.length > 0
    ? given
    : readdirSync(TRACES)
        .filter((file) => file.endsWith('.jsonl'))
        .sort()
        .map((file) => `${TRACES}/${file}`);

for (const file of files) {
  const { decisions, differences } = replayTrace(readFileSync(file, 'utf8'));
  console.log(`${file}: ${decisions} decisions, ${differences.length} differences`);
  for (const { lineNumber, kind, stated, replayed } of differences) {
    console.log(`  line ${lineNumber}, ${kind}: stated ${stated}, now ${replayed}`);
    process.exitCode = 1;
  }
}
