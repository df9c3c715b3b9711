import process from 'node:process';
import type { Registry } from 'prom-client';
import { Gauge } from './prometheus';

const MICROSECONDS_PER_SECOND = 1_000_000;

interface ProcessMetric {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

const cpuSeconds = () => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
};

const PROCESS_METRICS: readonly ProcessMetric[] = [
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
  for (const { name, help, read } of PROCESS_METRICS) {
    const gauge = new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        gauge.set(read());
      },
    });
  }
}
