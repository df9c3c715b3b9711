import type { BoundCheck } from './bounds';
import type { RunResult } from './harness';

/** Texts of the results for a person to read. */

const COLUMNS = [
  'policy',
  'class',
  'offered',
  'answered',
  'per s',
  'p50 ms',
  'p99 ms',
  'admitted p99',
  'first p99',
  'refused',
  'delay p99',
  'avoidable',
  'expired',
  'remote',
  'attempts',
  'wait max',
] as const;

function line(cells: readonly string[], widths: readonly number[]): string {
  return cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ');
}

/** Columns of equal width under a heading. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = heading.map((title, index) =>
    Math.max(title.length, ...rows.map((row) => row[index]?.length ?? 0)),
  );
  return [heading, ...rows].map((cells) => line(cells, widths)).join('\n');
}

/** One row for each policy and class. */
export function formatRuns(runs: readonly RunResult[]): string {
  const rows = runs.flatMap((run) =>
    [...run.classes.values()].map((row) => [
      run.policy,
      row.className,
      String(row.offered),
      String(row.answered),
      row.answeredPerSecond.toFixed(1),
      row.latency.p50Ms.toFixed(0),
      row.latency.p99Ms.toFixed(0),
      row.admittedLatency.p99Ms.toFixed(0),
      row.firstToken.p99Ms.toFixed(0),
      String(row.refused),
      row.refusalDelay.p99Ms.toFixed(1),
      String(row.avoidableRefusals),
      String(row.expired),
      row.remoteShare.toFixed(3),
      row.attemptsPerRequest.toFixed(2),
      row.longestWaitMs.toFixed(0),
    ]),
  );
  return formatTable(COLUMNS, rows);
}

/** What each policy's run cost. */
export function formatCosts(runs: readonly RunResult[]): string {
  return formatTable(
    ['policy', 'prefill tokens', 'of them again', 'engine s/answer', 'crashes per fingerprint'],
    runs.map((run) => [
      run.policy,
      String(run.prefillTokens),
      String(run.recomputedPrefixTokens),
      run.engineSecondsPerAnswer.toFixed(4),
      String(Math.max(0, ...run.crashesByFingerprint.values())),
    ]),
  );
}

/** The figures beside their bounds. */
export function formatChecks(checks: readonly BoundCheck[]): string {
  return formatTable(
    ['figure', 'measured', 'bound', 'verdict'],
    checks.map(({ name, measured, bound, holds }) => [
      name,
      measured.toFixed(3),
      `${bound.kind === 'atMost' ? 'at most' : 'at least'} ${bound.limit}`,
      holds ? 'holds' : 'BROKEN',
    ]),
  );
}
