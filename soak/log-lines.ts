import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { z } from 'zod';

const lineSchema = z.object({
  event: z.number(),
  timestamp: z.string(),
  server: z.string().optional(),
  to: z.string().optional(),
  requestId: z.string().optional(),
});

/** A log line of an instance, as far as it concerns backend servers and the requests that they get. */
export type LogLine = z.output<typeof lineSchema>;

function parseLine(text: string): readonly LogLine[] {
  try {
    const line = lineSchema.safeParse(JSON.parse(text)).data;
    return line === undefined ? [] : [line];
  } catch {
    // A process that was killed may have written a part of its last line.
    return [];
  }
}

/** Returns the lines of a log in order. */
export function parseLog(text: string): readonly LogLine[] {
  return text.split('\n').flatMap(parseLine);
}

/** Reads the logs of all instances. */
export function readLogs(logFolder: string, instances: number): readonly (readonly LogLine[])[] {
  return Array.from({ length: instances }, (_unused, index) =>
    parseLog(readFileSync(join(logFolder, `instance-${index}.log`), 'utf8')),
  );
}
