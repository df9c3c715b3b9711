import { z } from 'zod';

/** Response header in which engines report their load (ORCA, `endpoint-load-metrics`). */
export const LOAD_REPORT_HEADER = 'endpoint-load-metrics';

/** Numbers of requests at a server according to its load report. Engines name the metrics as vLLM does. */
export interface LoadMetrics {
  readonly runningRequests: number;
  readonly waitingRequests: number;
}

const count = z.number().min(0).default(0);

const reportSchema = z.object({
  named_metrics: z.object({
    num_requests_running: count,
    num_requests_waiting: count,
  }),
});

const JSON_PREFIX = /^JSON\s+/i;

/**
 * Parses the JSON form of the header. Returns undefined for anything else: a report is a hint, and no answer
 * depends on it.
 */
export function readLoadReport(header: string): LoadMetrics | undefined {
  let value: unknown;
  try {
    value = JSON.parse(header.replace(JSON_PREFIX, ''));
  } catch {
    return undefined;
  }
  const parsed = reportSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { num_requests_running: runningRequests, num_requests_waiting: waitingRequests } =
    parsed.data.named_metrics;
  return { runningRequests, waitingRequests };
}
