/**
 * Runs every *.test.ts of the tree, or those whose path holds one of the words given. Tests that KNOWN-RED.txt
 * lists are passed over while they fail, and printed; one that is listed and passes, or never ran, is an error.
 * Node 20's test runner takes no globs for TypeScript files, so the list is made here.
 */
import { spec as SpecReporter } from 'node:test/reporters';
import { run } from 'node:test';
import process from 'node:process';
import { judgeKnownRed, readKnownRed } from './known-red';
import { listSourceFiles } from './source-tree';

/** Few at once: several tests open dozens of sockets, and a laptop should stay usable. */
const CONCURRENT_FILES = 4;

const words = process.argv.slice(2);
const files = listSourceFiles()
  .filter((file) => file.endsWith('.test.ts'))
  .filter((file) => words.length === 0 || words.some((word) => file.includes(word)));

if (files.length === 0) {
  process.stderr.write(`No test file matches ${words.join(', ')}.\n`);
  process.exit(1);
}

// The child processes that the runner starts take their loader from here.
const inherited = process.env.NODE_OPTIONS ?? '';
process.env.NODE_OPTIONS = `${inherited} --import tsx`.trim();

const listed = readKnownRed();
const listedNames = new Set(listed.map(({ test }) => test));
const failed = new Set<string>();
const passed = new Set<string>();

/** Whether a suite failed only because a test in it did, which is told by itself. */
function isSuiteOfFailures(error: unknown): boolean {
  return (
    typeof error === 'object' &&
    error !== null &&
    'failureType' in error &&
    error.failureType === 'subtestsFailed'
  );
}

function reportKnownRed(): void {
  const { stillRed, passedAfterAll, neverRan } = judgeKnownRed(listed, failed, passed);
  for (const { line } of stillRed) process.stdout.write(`known to fail: ${line}\n`);
  for (const { line } of passedAfterAll) {
    process.stdout.write(`listed as known to fail, but passed; remove it: ${line}\n`);
    process.exitCode = 1;
  }
  if (words.length > 0) return;
  for (const { line } of neverRan) {
    process.stdout.write(`listed as known to fail, but never ran: ${line}\n`);
    process.exitCode = 1;
  }
}

run({ files, concurrency: CONCURRENT_FILES, timeout: 300_000 })
  .on('test:pass', ({ name }) => passed.add(name))
  .on('test:fail', ({ name, details }) => {
    if (isSuiteOfFailures(details.error)) return;
    failed.add(name);
    if (!listedNames.has(name)) process.exitCode = 1;
  })
  .on('end', reportKnownRed)
  .compose(new SpecReporter())
  .pipe(process.stdout);
