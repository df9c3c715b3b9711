import { readFileSync, readdirSync } from 'node:fs';

const NANOSECONDS_PER_MS = 1e6;

/** Processor time of all threads of a process so far, ms, as the kernel counts it. */
export function processorTimeMs(processId: number): number {
  return readdirSync(`/proc/${processId}/task`)
    .map((thread) => readFileSync(`/proc/${processId}/task/${thread}/schedstat`, 'utf8'))
    .reduce((sum, text) => sum + Number(text.split(' ')[0]) / NANOSECONDS_PER_MS, 0);
}
