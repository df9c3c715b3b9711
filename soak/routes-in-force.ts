import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { z } from 'zod';
import { RELAY_NODE_EVENTS } from '../src/core/relay-node/events';
import { STATE_SYNC_EVENTS } from '../src/core/state-sync';
import type { BrokenPromise } from './types';

/** Checks by the logs of the instances that each version of the routes takes effect everywhere, and that no older one follows. */

const lineSchema = z.object({ event: z.number(), version: z.number().optional() });

function readEvent(text: string): z.output<typeof lineSchema> | undefined {
  try {
    const reading = lineSchema.safeParse(JSON.parse(text));
    return reading.success ? reading.data : undefined;
  } catch {
    // Other output of the process, or a line that it did not finish.
    return undefined;
  }
}

/** Returns the versions in the order in which they took effect, for each start of the process. */
export function versionsByLife(log: string): readonly (readonly number[])[] {
  const lives: number[][] = [[]];
  for (const text of log.split('\n')) {
    const line = readEvent(text);
    if (line?.event === RELAY_NODE_EVENTS.started.id) lives.push([]);
    if (line?.event === STATE_SYNC_EVENTS.routesInForce.id && line.version !== undefined) {
      lives.at(-1)?.push(line.version);
    }
  }
  return lives;
}

/** Checks the log of one instance; `version` is the latest published one. */
export function judgeVersions(name: string, log: string, version: number): BrokenPromise[] {
  const lives = versionsByLife(log);
  const broken: BrokenPromise[] = [];
  const note = (promise: BrokenPromise['promise'], versions: readonly number[]) =>
    broken.push({ promise, requestId: '', detail: `${name}: ${versions.join(', ')}` });
  for (const versions of lives) {
    const wentBack = versions.some((later, index) => later < (versions[index - 1] ?? 0));
    if (wentBack) note('routesWentBack', versions);
  }
  const last = lives.at(-1) ?? [];
  if (last.at(-1) !== version) note('routesBehind', [...last, version]);
  return broken;
}

/** Checks the logs of all instances in a folder. */
export function checkVersions(
  logFolder: string,
  instances: number,
  version: number,
): readonly BrokenPromise[] {
  return Array.from({ length: instances }, (_, index) => `instance-${index}`).flatMap((name) =>
    judgeVersions(name, readFileSync(join(logFolder, `${name}.log`), 'utf8'), version),
  );
}
