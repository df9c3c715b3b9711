import process from 'node:process';
import type { Registry } from 'prom-client';
import { addGauge } from './add-gauge';
import type { ReadGauge } from './add-gauge';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the processor time that the process has used, user and system, ms. */
export function processorTimeMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

const cpuSeconds = () => processorTimeMs() / MILLISECONDS_PER_SECOND;

const PROCESS_METRICS: readonly ReadGauge[] = [
  {
    name: 'process_cpu_seconds_total',
    help: 'Processor time of the process, user and system, seconds',
    read: cpuSeconds,
  },
  {
    name: 'process_resident_memory_bytes',
    help: 'Resident memory, bytes',
    read: () => process.memoryUsage.rss(),
  },
  {
    name: 'nodejs_heap_size_used_bytes',
    help: 'Heap in use, bytes',
    read: () => process.memoryUsage().heapUsed,
  },
];

/**
 * Processor time and memory of the process, under the names that dashboards know.
 *
 * They are read when metrics are asked for. The exporter's own set measures the delay of the event loop with a timer
 * that fires a hundred times a second in every process, which on a small machine shows as processor time of an
 * instance that has no request. Instances that pass requests through tell the delay as `coltsfootworks_loop_lag_ms`.
 */
export function addProcessMetrics(registry: Registry): void {
  for (const metric of PROCESS_METRICS) addGauge(registry, metric);
}
