/**
 * Runs all *.test.ts files, or those whose path contains one of the given words. Tests that KNOWN-RED.txt lists are printed
 * and do not fail the run while they fail; a listed test that passes or never ran is an error. The files are listed here,
 * since the test runner of Node.js 20 does not support globs for TypeScript files.
 */
import { spec as SpecReporter } from 'node:test/reporters';
import { run } from 'node:test';
import process from 'node:process';
import { judgeKnownRed, readKnownRed } from './known-red';
import { listSourceFiles } from './source-tree';

/** Maximum number of files that run at once; several tests open dozens of sockets. */
const CONCURRENT_FILES = 4;

const words = process.argv.slice(2);
const files = listSourceFiles()
  .filter((file) => file.endsWith('.test.ts'))
  .filter((file) => words.length === 0 || words.some((word) => file.includes(word)));

if (files.length === 0) {
  process.stderr.write(`No test file matches ${words.join(', ')}.\n`);
  process.exit(1);
}

// The child processes of the test runner inherit the loader from here.
const inherited = process.env.NODE_OPTIONS ?? '';
process.env.NODE_OPTIONS = `${inherited} --import tsx`.trim();

const listed = readKnownRed();
const listedNames = new Set(listed.map(({ test }) => test));
const failed = new Set<string>();
const passed = new Set<string>();

/** Whether a suite failed only because one of its tests did, which is reported separately. */
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
