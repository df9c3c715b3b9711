import type { CallerSpec, EngineSpec, InstanceSpec, PlainSpec, Scenario } from '../harness';

/** Parts of scenarios at the size of one region of Omaruru: 8 engines, 3 order servers, few instances. */

/** The region that most scenarios look at. */
export const HOME = 'windhoek';

/** An engine of the kit assistant. */
export function engine(serverId: string, region = HOME): EngineSpec {
  return {
    kind: 'engine',
    serverId,
    service: 'kit-assistant',
    region,
    failureDomain: `${region}-a`,
    maxSequences: 16,
    kvTokens: 60_000,
    prefixCacheTokens: 20_000,
    stepBaseMs: 15,
    stepPerSequenceMs: 0.6,
    prefillMsPerToken: 0.05,
    prefillChunkTokens: 1_024,
    honoursPriority: true,
  };
}

/** A server of the order and stock application. */
export function orderServer(serverId: string, region = HOME): PlainSpec {
  const place = { service: 'orders', region, failureDomain: `${region}-a` };
  return { kind: 'plain', serverId, ...place, workers: 8 };
}

/** `count` instances of a region, in two failure domains. */
export function instances(count: number, region = HOME): InstanceSpec[] {
  return Array.from({ length: count }, (_unused, index) => ({
    instanceId: `${region}-${index + 1}`,
    region,
    failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
  }));
}

/** Callers who ask short questions of the kit assistant. */
export function chatCaller(change: Partial<CallerSpec> = {}): CallerSpec {
  return {
    callerId: 'builders',
    className: 'chat',
    service: 'kit-assistant',
    homeRegion: HOME,
    allowedRegions: [HOME],
    priority: 'interactive',
    arrivals: [{ fromMs: 0, untilMs: 120_000, perSecond: 40 }],
    drawWork: (random) => {
      const outputTokens = 20 + Math.floor(60 * random.next());
      const promptTokens = 200 + Math.floor(600 * random.next());
      return { promptTokens, outputTokens, maxOutputTokens: 100 };
    },
    deadlineMs: 20_000,
    repeatable: true,
    retry: { kind: 'never' },
    ...change,
  };
}

/** Callers who look up stock. */
export function stockCaller(change: Partial<CallerSpec> = {}): CallerSpec {
  return chatCaller({
    callerId: 'sales-desk',
    className: 'stock',
    service: 'orders',
    drawWork: (random) => ({
      promptTokens: 0,
      outputTokens: 0,
      maxOutputTokens: 0,
      plainWorkMs: 20 + 60 * random.next(),
    }),
    deadlineMs: 5_000,
    ...change,
  });
}

/** A scenario of one region, to be given its servers, callers and faults. */
export function scenarioOf(
  change: Partial<Scenario> & Pick<Scenario, 'name' | 'servers' | 'callers'>,
): Scenario {
  return {
    seed: 11,
    durationMs: 120_000,
    drainMs: 30_000,
    warmUpMs: 5_000,
    withinRegionMs: 0.4,
    betweenRegionsMs: 30,
    restartMs: 10_000,
    instances: instances(3),
    faults: [],
    reports: { intervalMs: 500, lagMs: 300, lostShare: 0 },
    weights: { tailLatency: 1, remoteShare: 0.3, cost: 0.2 },
    ...change,
  };
}
