import type { RunResult } from './harness';

/** What one entry of the scenario table yields. */
export interface ScenarioOutcome {
  /** Every policy's run, the project's own first. */
  readonly runs: readonly RunResult[];
  /** Figures that are held to bounds; each name has its row in the table of bounds. */
  readonly figures: readonly ScenarioFigure[];
}

/** One measured figure, mostly a ratio between two runs. */
export interface ScenarioFigure {
  readonly name: string;
  readonly measured: number;
}

/** One row of the scenario table. */
export interface ScenarioEntry {
  readonly name: string;
  /** What happens in it, in a sentence. */
  readonly summary: string;
  run(): ScenarioOutcome;
}
