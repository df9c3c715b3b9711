import { readFileSync } from 'node:fs';

/** What a process has used since its start. */
export interface ProcessUsage {
  /** Largest resident memory, MB. */
  readonly peakMb: number;
  /** Time on processors, s. */
  readonly processorS: number;
}

const KB_PER_MB = 1_024;
/** Units of the times in `/proc/PID/stat`. */
const TICKS_PER_S = 100;
/** Indexes of the times in user and in kernel mode, counted from the field after the name. */
const USER_TIME = 11;
const KERNEL_TIME = 12;

/** Reads what a process of this machine has used. */
export function readUsage(processId: number): ProcessUsage {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const peakKb = Number(/^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1] ?? 0);
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME]) + Number(fields[KERNEL_TIME]);
  return { peakMb: peakKb / KB_PER_MB, processorS: ticks / TICKS_PER_S };
}
