/**
 * Runs every *.test.ts of the tree, or those whose path holds one of the words given.
 * Node 20's test runner takes no globs for TypeScript files, so the list is made here.
 */
import { spec as SpecReporter } from 'node:test/reporters';
import { run } from 'node:test';
import process from 'node:process';
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
run({ files, concurrency: CONCURRENT_FILES, timeout: 300_000 })
  .on('test:fail', () => {
    process.exitCode = 1;
  })
  .compose(new SpecReporter())
  .pipe(process.stdout);
