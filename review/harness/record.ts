import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';

/** Collects what was sent, answered and run. */
export interface CaseRecord {
  log(event: string, fields?: Readonly<Record<string, unknown>>): void;
  /** Writes the record beside the script, and ends this process with the verdict. */
  finish(verdict: Verdict, summary: string): never;
}

/** Result of a case. */
export type Verdict = 'broken' | 'held' | 'could not run';

const EXIT_STATUS: Readonly<Record<Verdict, number>> = {
  held: 0,
  broken: 1,
  'could not run': 2,
};

/** Whether the disruption of the case takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Creates the record of a case; `number` is that of its folder. */
export function createRecord(number: number): CaseRecord {
  const startedAtMs = performance.now();
  const lines: string[] = [`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`];
  return {
    log(event, fields = {}) {
      const atS = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
      lines.push(`${atS} ${event} ${JSON.stringify(fields)}`);
    },
    finish(verdict, summary) {
      lines.push(`verdict: ${verdict}`, summary);
      writeFileSync(`review/${number}/record.txt`, `${lines.join('\n')}\n`);
      process.stdout.write(`${verdict}: ${summary}\n`);
      process.exit(EXIT_STATUS[verdict]);
    },
  };
}

/** Runs a case; one that fails to run, or takes too long, ends as such. */
export function runCase(record: CaseRecord, run: () => Promise<void>, maxS = 110): void {
  const timer = setTimeout(() => record.finish('could not run', 'it took too long'), maxS * 1_000);
  timer.unref();
  run().catch((error: unknown) => record.finish('could not run', String(error)));
}
