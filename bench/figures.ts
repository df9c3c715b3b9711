/** Figures as every bench prints them, so that one runner can gather and bound them. */

/** What a figure is held against. */
export interface Baseline {
  readonly name: string;
  readonly value: number;
}

/** One measured figure. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly baseline?: Baseline;
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}

/** Prints figures as a table, or as JSON when `--json` was given. */
export function printFigures(bench: string, figures: readonly Figure[]): void {
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify({ bench, figures }));
    return;
  }
  console.log(`\n## ${bench}`);
  console.table(
    figures.map(({ name, value, unit, baseline }) => ({
      figure: name,
      value: round(value),
      unit,
      'held against': baseline === undefined ? '' : `${baseline.name}: ${round(baseline.value)}`,
    })),
  );
}
