import { readFileSync } from 'node:fs';

const KB_PER_MB = 1_024;

/**
 * Returns the memory of a process that is its own, MB: without the files that it maps, so that no measure of it is smaller;
 * undefined if the process has ended.
 */
export function ownMemoryMb(processId: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${processId}/status`, 'utf8');
    const kb = /^RssAnon:\s+(\d+) kB$/m.exec(text)?.[1];
    return kb === undefined ? undefined : Number(kb) / KB_PER_MB;
  } catch {
    return undefined;
  }
}
