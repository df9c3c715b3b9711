/** Result of one step of the demonstration. */
export interface DemoResult {
  readonly deployment: string;
  readonly step: string;
  readonly expected: string;
  readonly got: string;
  readonly tookMs: number;
  readonly isAsStated: boolean;
}

/** One step of the demonstration. */
export interface DemoStep {
  readonly name: string;
  readonly expected: string;
  run(): Promise<StepOutcome>;
}

/** What a step found, and whether that is as expected. */
export interface StepOutcome {
  readonly got: string;
  readonly isAsStated: boolean;
}

/** Runs one step; a step that throws has failed. */
export async function runStep(deployment: string, step: DemoStep): Promise<DemoResult> {
  const startedAtMs = performance.now();
  const outcome = await step
    .run()
    .catch((error: unknown): StepOutcome => ({ got: String(error), isAsStated: false }));
  const tookMs = Math.round(performance.now() - startedAtMs);
  return { deployment, step: step.name, expected: step.expected, tookMs, ...outcome };
}

/** Prints the results as a table. */
export function printResults(results: readonly DemoResult[]): void {
  console.table(
    results.map(({ deployment, step, expected, got, tookMs, isAsStated }) => ({
      deployment,
      step,
      expected,
      got: got.slice(0, 60),
      ms: tookMs,
      ok: isAsStated ? 'yes' : 'NO',
    })),
  );
}
