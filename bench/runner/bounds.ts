import { readFileSync, writeFileSync } from 'node:fs';
import { z } from 'zod';
import type { NamedFigure } from './flatten';

/** Which figures are watched, what they may be, and what they were last. */

const boundSchema = z.strictObject({
  bench: z.string().describe('Name of the bench'),
  figure: z.string().describe('Path of the number in its JSON'),
  unit: z.string(),
  atMost: z.number().optional(),
  atLeast: z.number().optional(),
  why: z.string().describe('Where the bound comes from'),
});

/** One watched figure. */
export type Bound = z.output<typeof boundSchema>;

/** A watched figure after a run. */
export interface BoundResult {
  readonly bound: Bound;
  readonly value: number | undefined;
  /** The figure of the run that was saved last. */
  readonly earlier: number | undefined;
  readonly holds: boolean;
}

const BOUNDS_PATH = 'bench/regression-bounds.json';
const EARLIER_PATH = 'bench/earlier-figures.json';
const earlierSchema = z.record(z.string(), z.number());

/** The checked-in bounds. */
export function readBounds(): Bound[] {
  return z.array(boundSchema).parse(JSON.parse(readFileSync(BOUNDS_PATH, 'utf8')));
}

/** Figures of the run that was saved last, by bench and path. */
export function readEarlier(): Record<string, number> {
  return earlierSchema.parse(JSON.parse(readFileSync(EARLIER_PATH, 'utf8')));
}

function keyOf({ bench, figure }: Bound): string {
  return `${bench}/${figure}`;
}

/** Holds one bench's figures to its bounds; a figure that is missing does not hold. */
export function checkBounds(
  bench: string,
  figures: readonly NamedFigure[],
  bounds: readonly Bound[],
  earlier: Readonly<Record<string, number>>,
): BoundResult[] {
  const values = new Map(figures.map(({ path, value }) => [path, value]));
  return bounds
    .filter((bound) => bound.bench === bench)
    .map((bound) => {
      const value = values.get(bound.figure);
      const isLow = value !== undefined && value <= (bound.atMost ?? Infinity);
      const isHigh = value !== undefined && value >= (bound.atLeast ?? -Infinity);
      return { bound, value, earlier: earlier[keyOf(bound)], holds: isLow && isHigh };
    });
}

/** Keeps the figures of this run for the next one to be held against. */
export function saveEarlier(results: readonly BoundResult[]): void {
  const figures = { ...readEarlier() };
  for (const { bound, value } of results) {
    if (value !== undefined) figures[keyOf(bound)] = Number(value.toPrecision(4));
  }
  const sorted = Object.fromEntries(
    Object.entries(figures).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
  writeFileSync(EARLIER_PATH, `${JSON.stringify(sorted, null, 2)}\n`);
}
