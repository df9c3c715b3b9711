/** Counts and latencies for operators. */
export { createMetrics } from './create-metrics';
export type { Metrics, MetricsText } from './create-metrics';
