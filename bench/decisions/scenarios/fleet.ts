import { pickIndex } from '../../../src/core/random';
import type { RandomSource } from '../../../src/core/random';
import type {
  CallerSpec,
  EngineSpec,
  InstanceSpec,
  PlainSpec,
  Scenario,
  WorkSize,
} from '../harness';

/** Parts that several load scenarios share. */

/**
 * An engine of the usual kind: 10,000 prompt tokens/s in chunks of 2,048, batches of 32 at 33 ms a step against
 * 20 ms alone, so some 975 tokens/s at most. It takes requests in the order of their coming.
 */
export function engineIn(
  region: string,
  index: number,
  changes: Partial<EngineSpec> = {},
): EngineSpec {
  return {
    kind: 'engine',
    serverId: `${region}-engine-${index}`,
    service: 'assistant',
    region,
    failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
    maxSequences: 32,
    kvTokens: 80_000,
    prefixCacheTokens: 24_000,
    stepBaseMs: 20,
    stepPerSequenceMs: 0.4,
    prefillMsPerToken: 0.1,
    prefillChunkTokens: 2_048,
    honoursPriority: false,
    ...changes,
  };
}

/** A plain server with 8 workers. */
export function plainServerIn(region: string, index: number): PlainSpec {
  return {
    kind: 'plain',
    serverId: `${region}-orders-${index}`,
    service: 'orders',
    region,
    failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
    workers: 8,
  };
}

/** Instances of one region over two failure domains. */
export function instancesIn(region: string, count: number): InstanceSpec[] {
  return Array.from({ length: count }, (_unused, index) => ({
    instanceId: `${region}-instance-${index}`,
    region,
    failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
  }));
}

/** `count` things made by their number. */
export function times<Made>(count: number, make: (index: number) => Made): Made[] {
  return Array.from({ length: count }, (_unused, index) => make(index));
}

function between(random: RandomSource, least: number, most: number): number {
  return least + pickIndex(random, most - least + 1);
}

/** A chat turn or a stock question: short, and stated as at most 128 tokens. */
export function drawShort(random: RandomSource): WorkSize {
  return {
    promptTokens: between(random, 200, 800),
    outputTokens: between(random, 20, 100),
    maxOutputTokens: 128,
  };
}

/** A question on stock or slots: a line or two. */
export function drawQuestion(random: RandomSource): WorkSize {
  return { ...drawShort(random), promptTokens: between(random, 50, 250) };
}

/** A floor plan or a whole dossier: some dozens of pages, and an answer of one. */
export function drawLong(random: RandomSource): WorkSize {
  return {
    promptTokens: between(random, 16_000, 40_000),
    outputTokens: between(random, 200, 600),
    maxOutputTokens: 768,
  };
}

/** A stock check. */
export function drawPlainCall(random: RandomSource): WorkSize {
  return {
    promptTokens: 0,
    outputTokens: 0,
    maxOutputTokens: 0,
    plainWorkMs: between(random, 20, 60),
  };
}

/** A caller of the only region with interactive work and ten seconds for an answer, unless changed. */
export function callerOf(callerId: string, changes: Partial<CallerSpec> = {}): CallerSpec {
  return {
    callerId,
    className: 'short',
    service: 'assistant',
    homeRegion: 'windhoek',
    allowedRegions: ['windhoek'],
    priority: 'interactive',
    arrivals: [],
    drawWork: drawShort,
    deadlineMs: 10_000,
    repeatable: true,
    retry: { kind: 'never' },
    ...changes,
  };
}

/** Eight engines of one region behind six instances, without callers or faults. */
export function oneRegion(name: string, changes: Partial<Scenario> = {}): Scenario {
  return {
    name,
    seed: 20_260_301,
    durationMs: 90_000,
    drainMs: 60_000,
    warmUpMs: 20_000,
    withinRegionMs: 0.5,
    betweenRegionsMs: 30,
    restartMs: 10_000,
    servers: times(8, (index) => engineIn('windhoek', index)),
    instances: instancesIn('windhoek', 6),
    callers: [],
    faults: [],
    reports: { intervalMs: 500, lagMs: 300, lostShare: 0.02 },
    weights: { tailLatency: 1, remoteShare: 0.3, cost: 0.2 },
    ...changes,
  };
}
