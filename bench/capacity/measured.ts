import { z } from 'zod';
import type { BenchRun } from '../runner/run-bench';

/** The figures of other benches from which capacity is worked out; checked, so that none is silently missing. */

const fleetSchema = z.object({
  membership: z.array(
    z.object({
      instances: z.number(),
      bytesPerSecond: z.number(),
      exchangesPerSecond: z.number(),
      corePercent: z.number(),
      deadMs: z.number(),
    }),
  ),
  spread: z.array(
    z.object({
      instances: z.number(),
      fromOneInstanceMs: z.number(),
      readsPerSecond: z.number(),
      bytesPerSecond: z.number(),
      restartPeakReadsPerSecond: z.number(),
    }),
  ),
  changeCost: z.array(
    z.object({ form: z.string(), bytesPerChange: z.number(), corePercent: z.number() }),
  ),
  targetSize: z.object({ heapBytes: z.number() }),
  grpc: z.object({ direct: z.object({ exchangesPerSecond: z.number(), corePercent: z.number() }) }),
});

const callerLimitsSchema = z.array(
  z.object({
    instances: z.number(),
    bytesPerSecond: z.number(),
    microsecondsPerDecision: z.number(),
  }),
);

const serverHealthSchema = z.array(
  z.object({ servers: z.number(), checksPerServerPerS: z.number(), drainSpreadMs: z.number() }),
);

const edgeSchema = z.object({
  figures: z.array(z.object({ name: z.string(), value: z.number() })),
});

/** All that the page on capacity rests on. */
export interface Measured {
  readonly fleet: z.output<typeof fleetSchema>;
  readonly callerLimits: z.output<typeof callerLimitsSchema>;
  readonly serverHealth: z.output<typeof serverHealthSchema>;
  /** Value of a figure of the edge bench. */
  readonly edge: (name: string) => number;
}

/** Benches that must have run. */
export const MEASURED_BENCHES = ['fleet', 'caller-limits', 'server-health', 'edge'] as const;

/** Reads the runs of those benches; throws when one is missing or has another shape. */
export function readMeasured(runs: readonly BenchRun[]): Measured {
  const valueOf = (bench: (typeof MEASURED_BENCHES)[number]) =>
    runs.find((run) => run.bench === bench)?.value;
  const { figures } = edgeSchema.parse(valueOf('edge'));
  return {
    fleet: fleetSchema.parse(valueOf('fleet')),
    callerLimits: callerLimitsSchema.parse(valueOf('caller-limits')),
    serverHealth: serverHealthSchema.parse(valueOf('server-health')),
    edge(name) {
      const figure = figures.find((candidate) => candidate.name === name);
      if (figure === undefined) throw new Error(`The edge bench printed no figure "${name}".`);
      return figure.value;
    },
  };
}
