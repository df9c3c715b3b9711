import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { z } from 'zod';
import { PASS_THROUGH_EVENTS } from '../src/core/pass-through';

const lineSchema = z.object({
  event: z.number(),
  timestamp: z.string(),
  server: z.string().optional(),
  to: z.string().optional(),
  requestId: z.string().optional(),
  shape: z.string().optional(),
  bytes: z.number().optional(),
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

const INSTANCE_NAME = /^instance-(\d+)$/u;

/** Returns the instances that each request passed through, by the logs of all instances. */
export function readInstancesOf(
  logs: readonly (readonly LogLine[])[],
): ReadonlyMap<string, ReadonlySet<number>> {
  const instancesOf = new Map<string, Set<number>>();
  logs.forEach((log, instance) => {
    for (const { event, requestId, to = '' } of log) {
      if (event !== PASS_THROUGH_EVENTS.placed.id || requestId === undefined) continue;
      const instances = instancesOf.get(requestId) ?? new Set();
      const peer = INSTANCE_NAME.exec(to)?.[1];
      instances.add(instance);
      if (peer !== undefined) instances.add(Number(peer));
      instancesOf.set(requestId, instances);
    }
  });
  return instancesOf;
}
