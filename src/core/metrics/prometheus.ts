/**
 * The parts of the metrics library that are used, without the rest of it, which every process would load before it
 * can serve.
 */
export { default as Counter } from 'prom-client/lib/counter.js';
export { default as Gauge } from 'prom-client/lib/gauge.js';
export { default as Registry } from 'prom-client/lib/registry.js';
