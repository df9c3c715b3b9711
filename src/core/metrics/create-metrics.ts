import type { Histogram } from 'hdr-histogram-js';
import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js';
import type { Registry as MetricsRegistry } from 'prom-client';
import type { EndlessBytes } from '../outcomes';
import { addGauge } from './add-gauge';
import { addProcessMetrics } from './process-metrics';
import { Counter, Gauge, Registry } from './prometheus';

/** Counts and latencies of one instance, for the Prometheus text format. */
export interface Metrics {
  /** Notes a whole answer: time to its first byte and to its end, ms. */
  answered(service: string, firstByteMs: number, totalMs: number): void;
  /** Notes a refusal by its kind and outcome. */
  refused(refusal: string, outcome: string): void;
  /** A refusal for a predicted time, with the bound that was exceeded and the largest part of the prediction. */
  refusedForPrediction(service: string, bound: string, part: string): void;
  /** Notes how many backend servers a request that is over has been sent to, at all instances together. */
  attempts(service: string, count: number): void;
  /** Notes an answer that could not be finished. */
  cutShort(service: string): void;
  /** Notes a caller that left before the end. */
  callerGone(service: string): void;
  /** Notes a request that was read whole and got neither a complete answer nor a refusal, by its cause. */
  unanswered(cause: string): void;
  /** Notes bytes without end that a backend server sent in place of an answer, by their shape. */
  endless(found: EndlessBytes): void;
  /** A value that is read when metrics are asked for. */
  gauge(name: string, help: string, read: () => number): void;
  /** A value for each value of one label, all read when metrics are asked for. The label must have few values. */
  labelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => ReadonlyMap<string, number>,
  ): void;
  /** The text format and its content type. */
  export(): Promise<MetricsText>;
}

/** What a scrape is answered with. */
export interface MetricsText {
  readonly contentType: string;
  readonly text: string;
}

/** The quantiles that are exported; the last two are what the deployments weigh most. */
const QUANTILES = [0.5, 0.95, 0.99, 0.999];
/** One kind of histogram by itself: the library's factory loads its log formats as well, which nobody reads here. */
const { default: LatencyHistogram } = histogramModule;

const MIN_RECORDED_MS = 1;
/** An hour: longer than any deadline that the configuration lets callers state. */
const MAX_RECORDED_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
/** Counts of attempts above this share one label; routes allow two or three. */
const MAX_ATTEMPTS_LABEL = 5;

interface LatencyFamily {
  record(service: string, durationMs: number): void;
}

/**
 * Latencies kept in HDR histograms rather than in the exporter's own buckets: fixed buckets hide the tail,
 * which is what callers on the telephone notice.
 */
function createLatencyFamily(registry: MetricsRegistry, name: string, help: string): LatencyFamily {
  const histograms = new Map<string, Histogram>();
  const gauge = new Gauge({
    name,
    help,
    labelNames: ['service', 'quantile'],
    registers: [registry],
    collect() {
      for (const [service, histogram] of histograms) {
        for (const quantile of QUANTILES) {
          const labels = { service, quantile: String(quantile) };
          gauge.set(labels, histogram.getValueAtPercentile(quantile * 100));
        }
      }
    },
  });
  return {
    record(service, durationMs) {
      let histogram = histograms.get(service);
      if (histogram === undefined) {
        histogram = new LatencyHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS);
        histograms.set(service, histogram);
      }
      histogram.recordValue(Math.min(MAX_RECORDED_MS, Math.max(0, Math.round(durationMs))));
    },
  };
}

/** Metrics that start at zero. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  addProcessMetrics(registry);
  const counter = (name: string, help: string, labelNames: string[]) =>
    new Counter({ name, help, labelNames, registers: [registry] });

  const answers = counter('coltsfootworks_answers_total', 'Whole answers', ['service']);
  const refusals = counter('coltsfootworks_refusals_total', 'Refusals', ['refusal', 'outcome']);
  const cuts = counter('coltsfootworks_answers_cut_short_total', 'Answers not finished', [
    'service',
  ]);
  const predictions = counter(
    'coltsfootworks_refusals_by_prediction_total',
    'Refusals for a predicted time to the first byte, by the bound exceeded and the largest part of the prediction',
    ['service', 'bound', 'part'],
  );
  const attempts = counter(
    'coltsfootworks_requests_by_attempts_total',
    'Requests by the backend servers that each was sent to, at all instances together',
    ['service', 'attempts'],
  );
  const gone = counter('coltsfootworks_callers_gone_total', 'Callers that left early', ['service']);
  const unanswered = counter(
    'coltsfootworks_requests_unanswered_total',
    'Requests that were read whole and got neither a complete answer nor a refusal',
    ['cause'],
  );
  const endless = counter(
    'coltsfootworks_endless_answers_total',
    'Answers of backend servers that were ended because their bytes had no end',
    ['shape'],
  );
  const endlessBytes = counter(
    'coltsfootworks_endless_answer_bytes_total',
    'Bytes of these answers without progress',
    ['shape'],
  );
  const firstByte = createLatencyFamily(
    registry,
    'coltsfootworks_first_byte_ms',
    'Time to the first byte of an answer, ms',
  );
  const total = createLatencyFamily(
    registry,
    'coltsfootworks_answer_ms',
    'Time to the end of an answer, ms',
  );

  return {
    answered(service, firstByteMs, totalMs) {
      answers.inc({ service });
      firstByte.record(service, firstByteMs);
      total.record(service, totalMs);
    },
    refused(refusal, outcome) {
      refusals.inc({ refusal, outcome });
    },
    refusedForPrediction(service, bound, part) {
      predictions.inc({ service, bound, part });
    },
    attempts(service, count) {
      const label = count > MAX_ATTEMPTS_LABEL ? `over ${MAX_ATTEMPTS_LABEL}` : String(count);
      attempts.inc({ service, attempts: label });
    },
    cutShort(service) {
      cuts.inc({ service });
    },
    callerGone(service) {
      gone.inc({ service });
    },
    unanswered(cause) {
      unanswered.inc({ cause });
    },
    endless({ shape, bytes }) {
      endless.inc({ shape });
      endlessBytes.inc({ shape }, bytes);
    },
    gauge(name, help, read) {
      addGauge(registry, { name, help, read });
    },
    labelledGauge(name, help, label, read) {
      const gauge = new Gauge({
        name,
        help,
        labelNames: [label],
        registers: [registry],
        collect() {
          for (const [key, value] of read()) gauge.set({ [label]: key }, value);
        },
      });
    },
    async export() {
      return { contentType: registry.contentType, text: await registry.metrics() };
    },
  };
}
