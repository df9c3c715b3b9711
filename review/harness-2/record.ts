import { writeFileSync } from 'node:fs';
import process from 'node:process';

/** What was sent, answered and run, in order, for `record.txt`. */
export interface Record {
  /** Adds a line with the time since the start. */
  add(text: string): void;
  /** Writes the record, and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  end(code: 0 | 1 | 2, verdict: string): never;
  sinceStartMs(atMs?: number): number;
}

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

export function createRecord(folder: string): Record {
  const startedAtMs = Date.now();
  const lines: string[] = [];
  const sinceStartMs = (atMs = Date.now()) => atMs - startedAtMs;
  return {
    sinceStartMs,
    add(text) {
      lines.push(`${String(sinceStartMs()).padStart(7)} ms  ${text}`);
    },
    end(code, verdict) {
      lines.push(`verdict: ${verdict}`, `exit: ${code}`);
      writeFileSync(`${folder}/record.txt`, `${lines.join('\n')}\n`);
      process.stdout.write(`${verdict}\n`);
      process.exit(code);
    },
  };
}
