import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  classOf,
  fifoWithFixedLimit,
  leastInFlight,
  roundRobin,
  runScenario,
  unboundedRetries,
} from '.';
import type { EngineSpec, PolicyFactory, Scenario } from '.';

const REGIONS = ['north', 'south'];

function engine(serverId: string, region: string): EngineSpec {
  return {
    kind: 'engine',
    serverId,
    service: 'assistant',
    region,
    failureDomain: `${region}-a`,
    maxSequences: 8,
    kvTokens: 40_000,
    prefixCacheTokens: 4_000,
    stepBaseMs: 20,
    stepPerSequenceMs: 1,
    prefillMsPerToken: 0.1,
    prefillChunkTokens: 1_024,
    honoursPriority: true,
  };
}

function smallScenario(changes: Partial<Scenario> = {}): Scenario {
  return {
    name: 'small',
    seed: 7,
    durationMs: 20_000,
    drainMs: 10_000,
    warmUpMs: 0,
    withinRegionMs: 0.5,
    betweenRegionsMs: 30,
    restartMs: 2_000,
    servers: REGIONS.map((region) => engine(`engine-${region}`, region)),
    instances: REGIONS.map((region) => ({
      instanceId: `instance-${region}`,
      region,
      failureDomain: `${region}-a`,
    })),
    callers: [
      {
        callerId: 'desk',
        className: 'chat',
        service: 'assistant',
        homeRegion: 'north',
        allowedRegions: REGIONS,
        priority: 'interactive',
        arrivals: [{ fromMs: 0, untilMs: 20_000, perSecond: 5 }],
        drawWork: () => ({
          promptTokens: 400,
          outputTokens: 20,
          maxOutputTokens: 20,
          prefixKey: 'kit',
          prefixTokens: 300,
        }),
        deadlineMs: 5_000,
        repeatable: true,
        retry: { kind: 'never' },
      },
    ],
    faults: [],
    reports: { intervalMs: 500, lagMs: 300, lostShare: 0 },
    weights: { tailLatency: 1, remoteShare: 1, cost: 0.2 },
    ...changes,
  };
}

/** Passes everything on to the other region. */
const alwaysForward: PolicyFactory = {
  name: 'always-forward',
  create: ({ instance, instances, actions }) => ({
    onRequest(request) {
      const other = instances.find(({ region }) => region !== instance.region);
      if (request.fromInstanceId === undefined && other !== undefined) {
        actions.forward(request, other.instanceId);
        return;
      }
      actions.send(request, `engine-${instance.region}`);
    },
    onAttemptEnd(request, end) {
      if (end.kind === 'peerLost') actions.refuse(request, 'peer lost');
    },
    onGone: () => {},
  }),
};

test('the same seed gives the same result, another seed another', () => {
  const once = runScenario(smallScenario(), leastInFlight);
  const again = runScenario(smallScenario(), leastInFlight);
  const other = runScenario(smallScenario({ seed: 8 }), leastInFlight);
  assert.deepEqual(once, again);
  assert.notDeepEqual(once.answeredBySecond, other.answeredBySecond);
});

for (const policy of [roundRobin, leastInFlight, unboundedRetries, fifoWithFixedLimit(4)]) {
  test(`${policy.name} answers everything on an idle fleet, and computes a prefix once`, () => {
    const result = runScenario(smallScenario(), policy);
    const chat = classOf(result, 'chat');
    assert.ok(chat.offered > 50);
    assert.equal(chat.answered, chat.offered);
    assert.equal(chat.remoteShare, 0);
    assert.equal(result.recomputedPrefixTokens, 0);
    // One step for the prompt and one for each token, each at least the base time.
    assert.ok(chat.latency.p50Ms >= 21 * 20);
  });
}

test('a forwarded request is answered remotely, and a partition loses it', () => {
  const whole = classOf(runScenario(smallScenario(), alwaysForward), 'chat');
  assert.equal(whole.remoteShare, 1);
  const parted = smallScenario({
    faults: [{ atMs: 10_000, kind: 'partition', regions: ['north', 'south'] }],
  });
  const cut = classOf(runScenario(parted, alwaysForward), 'chat');
  assert.ok(cut.refused > 10);
  assert.ok(cut.answered > 10);
});

test('a crash loses the work in flight and the cache', () => {
  const crashed = smallScenario({
    faults: [
      { atMs: 5_000, kind: 'crash', serverId: 'engine-north' },
      { atMs: 8_000, kind: 'recover', serverId: 'engine-north' },
    ],
  });
  const result = runScenario(crashed, leastInFlight);
  const chat = classOf(result, 'chat');
  assert.ok(chat.refused > 5);
  assert.equal(chat.answered + chat.refused, chat.offered);
  assert.equal(result.recomputedPrefixTokens, 300);
});

test('a request that crashes servers is counted by its fingerprint', () => {
  const scenario = smallScenario();
  const poison = {
    ...scenario.callers[0]!,
    callerId: 'poison',
    className: 'poison',
    arrivals: [{ fromMs: 1_000, untilMs: 1_001, perSecond: 1 }],
    drawWork: () => ({
      promptTokens: 10,
      outputTokens: 1,
      maxOutputTokens: 1,
      crashesServer: true,
    }),
    retry: { kind: 'afterDelay', delayMs: 100, maxTries: 3 } as const,
  };
  const result = runScenario(
    { ...scenario, restartMs: 50, callers: [...scenario.callers, poison] },
    leastInFlight,
  );
  assert.deepEqual([...result.crashesByFingerprint], [['poison/1', 3]]);
});
