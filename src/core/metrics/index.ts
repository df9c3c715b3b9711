/** Counts and latencies for operators. */
export { createMetrics } from './create-metrics';
export { processorTimeMs } from './process-metrics';
export type { Metrics, MetricsText } from './create-metrics';
