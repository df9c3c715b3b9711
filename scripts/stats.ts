import { readFileSync } from 'node:fs';
import { listSourceFiles } from './source-tree';

/** Prints the lines of each part, the share of tests, and the largest files. */

const PARTS = [
  'src/core',
  'src/cli',
  'src/runtime',
  'src/testing',
  'standins',
  'bench',
  'checks',
  'soak',
  'demo',
  'scripts',
];
const MAX_LINES = 400;
/** Slices for the cooperation of many instances and for failures. */
const HEART = [
  'admission',
  'caller-limits',
  'configuration',
  'draining',
  'engine-orders',
  'entry',
  'gossip',
  'membership',
  'outcomes',
  'outliers',
  'pauses',
  'peers',
  'poison',
  'queueing',
  'residency',
  'retries',
  'routing',
  'server-health',
  'serving',
  'spillover',
  'tickets',
];

interface SourceFile {
  readonly path: string;
  readonly lines: number;
  readonly isTest: boolean;
}

function readFiles(): SourceFile[] {
  return listSourceFiles().map((path) => ({
    path,
    lines: readFileSync(path, 'utf8').split('\n').length - 1,
    isTest: path.endsWith('.test.ts'),
  }));
}

function sumLines(files: readonly SourceFile[]): number {
  return files.reduce((sum, file) => sum + file.lines, 0);
}

function percent(part: number, whole: number): string {
  return `${((100 * part) / whole).toFixed(1)}%`;
}

const files = readFiles();
const all = sumLines(files);
const tests = sumLines(files.filter((file) => file.isTest));
const heart = sumLines(
  files.filter(({ path }) => HEART.some((slice) => path.startsWith(`src/core/${slice}/`))),
);
const parts = PARTS.map((part) => {
  const lines = sumLines(files.filter(({ path }) => path.startsWith(`${part}/`)));
  return { part, lines, share: percent(lines, all) };
});

console.table(parts);
console.log(`all: ${all} lines in ${files.length} files`);
console.log(`tests: ${tests} lines, ${percent(tests, all)}`);
console.log(
  `routing, limits, retries, membership, state, recovery: ${heart} lines, ${percent(heart, all)}`,
);
const large = files.filter((file) => file.lines > MAX_LINES);
for (const { path, lines } of large) console.log(`over ${MAX_LINES} lines: ${path} (${lines})`);
process.exitCode = large.length === 0 ? 0 : 1;
