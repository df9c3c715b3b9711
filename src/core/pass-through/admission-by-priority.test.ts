import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createPeerLoads } from '../load-sharing';
import { createRouter } from './create-router';
import type { ForwardPeer } from './other-regions';
import {
  SIMULATED_REGION,
  createRoutesOf,
  createServersOf,
  requestWithPrompt,
} from './testing/one-service';
import type { RequestPlan } from './types';

const SERVICE = 'chat';
const SERVER = 's-1';
const URGENT: RequestPlan = {
  route: 'question',
  service: SERVICE,
  kind: 'stream',
  isResumable: false,
  priority: 0,
  objectiveMs: 500,
  pauseObjectiveMs: undefined,
  maxAttempts: 2,
  homeRegions: [],
  routesVersion: 1,
  deadlineAtMs: 1_000_000,
  timeoutAtMs: 1_000_000,
  isForwarded: false,
  account: undefined,
};
const RELAXED: RequestPlan = { ...URGENT, route: 'summary', priority: 2, objectiveMs: 1_500 };
const SHORT_TOKENS = 400;
/** Tokens of a prompt that takes longer than the objective of its kind. */
const HUGE_TOKENS = 70_000;
/** Prompt tokens that the server has yet to read, so that the predicted wait is 700 ms. */
const PENDING_TOKENS = 40_000;
/** Time at which the bound applies in full, ms. */
const LATER_MS = 500;
const SOUTH: ForwardPeer = {
  instanceId: 'b-1',
  region: 'south',
  forwardAddress: 'b-1:1',
  inFlightRequests: 0,
};

/** Creates an instance before one server with a long queue. */
function createBusyInstance({ priorityAdmission = true, hasOtherRegion = false } = {}) {
  const north = createServersOf(SERVICE, [SERVER], 64);
  const inSouth = north.all().map((server) => ({ ...server, region: SOUTH.region }));
  const servers = {
    ...north,
    usable: (service: string, region: string) =>
      region === SOUTH.region ? inSouth : north.usable(service, region),
    all: () => (hasOtherRegion ? [...north.all(), ...inSouth] : north.all()),
  };
  const router = createRouter({
    regionalRoom: () => false,
    serverSpeeds: undefined,
    onPartsCached() {},
    region: SIMULATED_REGION,
    routes: createRoutesOf(SERVICE),
    servers,
    otherLoads: createPeerLoads(),
    pool: { hasCapacity: () => true, hasIdleConnection: () => true },
    coldServerLimiter: { maySend: () => true, recordSent() {}, keepOnly() {} },
    limits: { waitMs: () => 0 },
    notices: { waitMs: () => 0 },
    peers: () => (hasOtherRegion ? [SOUTH] : []),
    instancesInRegion: () => 1,
    priorityAdmission,
    draw: () => 0,
  });
  let requests = 0;
  const nextRequest = (tokens = SHORT_TOKENS) => {
    requests += 1;
    return requestWithPrompt(requests, tokens, 0);
  };
  return {
    nextRequest,
    setBusy(atMs: number) {
      for (const { incarnationId } of north.all()) {
        router.loads.recordSent(incarnationId, PENDING_TOKENS, atMs);
      }
    },
    choose: (plan: RequestPlan, atMs: number, request = nextRequest()) =>
      router.choose(request, plan, { ids: new Set(), refusingRegions: new Set() }, atMs),
  };
}

/**
 * Guards against less urgent requests that fill the queues up to their own long objective, so that urgent ones are
 * refused.
 */
describe('a less urgent request whose wait is over the objective of an urgent kind', () => {
  const cases: readonly {
    readonly name: string;
    readonly before: readonly RequestPlan[];
    readonly plan?: RequestPlan;
    readonly options?: Parameters<typeof createBusyInstance>[0];
    readonly to: 'server' | 'peer' | 'none';
  }[] = [
    { name: 'is refused while urgent ones arrive', before: [URGENT], to: 'none' },
    { name: 'is admitted without urgent ones', before: [RELAXED], to: 'server' },
    {
      name: 'is refused while other instances forward urgent ones',
      before: [{ ...URGENT, isForwarded: true }],
      to: 'none',
    },
    {
      name: 'is admitted if the urgent ones may not run in this region',
      before: [{ ...URGENT, homeRegions: [SOUTH.region] }],
      to: 'server',
    },
    {
      name: 'is admitted if the others have the same priority',
      before: [{ ...URGENT, priority: RELAXED.priority }],
      to: 'server',
    },
    {
      name: 'is admitted if the others use another service',
      before: [{ ...URGENT, service: 'other' }],
      to: 'server',
    },
    {
      name: 'is admitted if priority admission is off',
      before: [URGENT],
      options: { priorityAdmission: false },
      to: 'server',
    },
    {
      name: 'is sent to another region with room, although it would be in time here',
      before: [URGENT],
      options: { hasOtherRegion: true },
      to: 'peer',
    },
    {
      name: 'stays here without urgent ones, although another region has room',
      before: [],
      options: { hasOtherRegion: true },
      to: 'server',
    },
    {
      name: 'is not sent on if another instance has forwarded it',
      before: [URGENT],
      plan: { ...RELAXED, isForwarded: true },
      options: { hasOtherRegion: true },
      to: 'none',
    },
  ];
  for (const { name, before, plan = RELAXED, options, to } of cases) {
    it(name, () => {
      const instance = createBusyInstance(options);
      instance.setBusy(0);
      for (const each of before) instance.choose(each, 0);
      assert.equal(instance.choose(plan, LATER_MS).kind, to);
    });
  }

  it('is refused with its wait and the bound, for the log line', () => {
    const instance = createBusyInstance();
    instance.setBusy(0);
    instance.choose(URGENT, 0);
    const to = instance.choose(RELAXED, LATER_MS);
    assert.ok(to.kind === 'none' && to.basis?.kind === 'tooSlow');
    assert.equal(to.basis.maxWaitMs, 150);
    assert.ok(to.basis.waitMs > 650 && to.basis.waitMs < 750, `${to.basis.waitMs}`);
    assert.ok((to.retryAfterMs ?? 0) >= to.basis.waitMs - to.basis.maxWaitMs, `${to.retryAfterMs}`);
  });
});

/** Guards against a bound that lasts because a retried request counts as new demand each time. */
describe('an urgent request that is chosen a destination for several times', () => {
  it('counts as demand once', () => {
    const instance = createBusyInstance();
    const request = instance.nextRequest();
    instance.setBusy(0);
    for (let atMs = 0; atMs <= 10_000; atMs += 500) instance.choose(URGENT, atMs, request);
    const to = instance.choose(RELAXED, 10_000);
    assert.ok(to.kind === 'none' && to.basis?.kind === 'tooSlow');
    assert.equal(to.basis.maxWaitMs, RELAXED.objectiveMs);
  });
});

/** Guards against capacity that is kept idle: less urgent requests would be bounded while urgent ones hardly wait. */
describe('an urgent request that need not wait', () => {
  it('does not bound less urgent ones', () => {
    const instance = createBusyInstance();
    instance.choose(URGENT, 0);
    instance.setBusy(LATER_MS);
    assert.equal(instance.choose(RELAXED, LATER_MS).kind, 'server');
  });
});

/** Guards against a bound that refuses long prompts for their size: their own computation is not part of the wait. */
describe('a less urgent prompt that takes longer than its objective at an idle server', () => {
  it('is admitted by size while urgent requests arrive', () => {
    const instance = createBusyInstance();
    instance.choose(URGENT, 0);
    const request = instance.nextRequest(HUGE_TOKENS);
    assert.equal(instance.choose(RELAXED, LATER_MS, request).kind, 'server');
  });
});
