import { readFileSync } from 'node:fs';

/** A test that fails because of a known fault that is not fixed yet. */
export interface KnownRed {
  /** Name of the test as the runner prints it. */
  readonly test: string;
  /** The whole line: the test, command and seed, cause and open issue. */
  readonly line: string;
}

/** Results of the tests that are known to fail. */
export interface KnownRedVerdict {
  /** Failed as expected; they are printed and do not fail the run. */
  readonly stillRed: readonly KnownRed[];
  /** Passed although they are listed, so the list is out of date. */
  readonly passedAfterAll: readonly KnownRed[];
  /** Listed, but no test with that name ran. */
  readonly neverRan: readonly KnownRed[];
}

/** Separator between the test's name and the rest of its line. */
const SEPARATOR = ' | ';

/** Parses a list with one entry per line, each beginning with the test's name. */
export function parseKnownRed(text: string): readonly KnownRed[] {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => ({ test: line.split(SEPARATOR)[0]?.trim() ?? '', line }));
}

/** Reads the list of this repository. */
export function readKnownRed(): readonly KnownRed[] {
  return parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
}

/** Compares the list with the names of the tests that failed and passed. */
export function judgeKnownRed(
  listed: readonly KnownRed[],
  failed: ReadonlySet<string>,
  passed: ReadonlySet<string>,
): KnownRedVerdict {
  return {
    stillRed: listed.filter(({ test }) => failed.has(test)),
    passedAfterAll: listed.filter(({ test }) => passed.has(test) && !failed.has(test)),
    neverRan: listed.filter(({ test }) => !failed.has(test) && !passed.has(test)),
  };
}
