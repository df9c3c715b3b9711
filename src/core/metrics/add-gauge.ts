import type { Registry } from 'prom-client';
import { Gauge } from './prometheus';

/** A gauge whose value is read when the metrics are exported. */
export interface ReadGauge {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** Adds a gauge to a registry. */
export function addGauge(registry: Registry, { name, help, read }: ReadGauge): void {
  const gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      gauge.set(read());
    },
  });
}
