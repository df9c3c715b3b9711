import { readFileSync } from 'node:fs';

/** One test that fails for a fault which is known and not mended yet. */
export interface KnownRed {
  /** Name of the test as the runner prints it. */
  readonly test: string;
  /** The whole line: the test, command and seed, cause and open issue. */
  readonly line: string;
}

/** What became of the tests that are known to fail. */
export interface KnownRedVerdict {
  /** Failed as expected; they are printed and passed over. */
  readonly stillRed: readonly KnownRed[];
  /** Passed although they are listed: the list is wrong. */
  readonly passedAfterAll: readonly KnownRed[];
  /** Listed, but no test of that name ran. */
  readonly neverRan: readonly KnownRed[];
}

/** What separates the test's name from the rest of its line. */
const SEPARATOR = ' | ';

/** The entries of a list: a line each, the test's name first. */
export function parseKnownRed(text: string): readonly KnownRed[] {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => ({ test: line.split(SEPARATOR)[0]?.trim() ?? '', line }));
}

/** The list of this repository. */
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
