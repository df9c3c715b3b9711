import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { AccountDemand, AccountShares, ShareVerdict } from '../account-shares';
import { createPeerLoads } from '../load-sharing';
import { createRouter } from './create-router';
import {
  SIMULATED_REGION,
  createRoutesOf,
  createServersOf,
  requestWithPrompt,
} from './testing/one-service';
import type { InboundRequest, RequestPlan } from './types';

const CHAT = 'chat';
const PLAN: RequestPlan = {
  route: CHAT,
  service: CHAT,
  kind: 'stream',
  isResumable: false,
  priority: 1,
  objectiveMs: 600,
  pauseObjectiveMs: undefined,
  maxAttempts: 2,
  homeRegions: [],
  routesVersion: 1,
  deadlineAtMs: 1_000_000,
  timeoutAtMs: 1_000_000,
  isForwarded: false,
  account: 'farm',
};
const ADMITTED: ShareVerdict = { isAdmitted: true, admittedShare: 1, maxWaitShare: 1 };

/** Creates a router with one idle server, and shares that return a fixed verdict. */
function setUp(verdict: ShareVerdict, hasServer = true) {
  const recorded: AccountDemand[] = [];
  const late: unknown[] = [];
  let asked = 0;
  const accountShares: AccountShares = {
    record: (demand) => recorded.push(demand),
    recordLateRefusal: (demand) => late.push(demand),
    admits() {
      asked += 1;
      return verdict;
    },
    receive: () => false,
    sendIfDue() {},
    scarceCount: () => 0,
    overShareCount: () => 0,
  };
  const limitMs = { value: 0 };
  const router = createRouter({
    accountShares,
    priorityAdmission: false,
    serverSpeeds: undefined,
    otherLoads: createPeerLoads(),
    onPartsCached() {},
    region: SIMULATED_REGION,
    routes: createRoutesOf(CHAT),
    servers: createServersOf(CHAT, hasServer ? ['s-1', 's-2'] : [], 8),
    pool: { hasCapacity: () => true, hasIdleConnection: () => true },
    coldServerLimiter: { maySend: () => true, recordSent() {}, keepOnly() {} },
    limits: { waitMs: () => limitMs.value },
    notices: { waitMs: () => 0 },
    peers: () => [],
    instancesInRegion: () => 1,
    draw: () => 0,
  });
  const choose = (
    request: InboundRequest,
    more: Partial<RequestPlan> = {},
    ids: readonly string[] = [],
  ) =>
    router.choose(
      request,
      { ...PLAN, ...more },
      { ids: new Set(ids), refusingRegions: new Set() },
      0,
    );
  return { router, choose, recorded, late, limitMs, asked: () => asked };
}

/** Guards against refused accounts that are not told why, and against demand that is counted twice or not at all. */
describe('the share of an account', () => {
  // A caller that is not told when to retry would do so immediately, or give up.
  // Another region was asked first and has refused. Without the kept verdict, servers here would serve the request.
  it('holds when the request is chosen a destination for again', () => {
    const { choose } = setUp({ isAdmitted: false, admittedShare: 0.25, maxWaitShare: 1 });
    const request = requestWithPrompt(1, 800, 0);
    assert.equal(choose(request).kind, 'none');
    assert.equal(choose(request).kind, 'none');
  });

  it('refuses a request at once as one of an overloaded service, with a retry time', () => {
    const { choose, recorded } = setUp({ isAdmitted: false, admittedShare: 0.25, maxWaitShare: 1 });
    const to = choose(requestWithPrompt(1, 800, 0));
    assert.ok(to.kind === 'none' && to.reason === 'overloaded');
    assert.ok((to.retryAfterMs ?? NaN) >= 200 && (to.retryAfterMs ?? NaN) <= 2_000);
    assert.deepEqual(to.basis, { kind: 'overShare', admittedShare: 0.25 });
    assert.deepEqual(
      recorded.map(({ outcome }) => outcome),
      ['refusedByShare'],
    );
  });

  // If all got the same delay, they would retry together and be refused again.
  it('spaces the retries of the callers that it refuses', () => {
    const { choose } = setUp({ isAdmitted: false, admittedShare: 0.25, maxWaitShare: 1 });
    const delaysMs = Array.from({ length: 20 }, (_unused, index) => {
      const to = choose(requestWithPrompt(index, 800, 0));
      return to.kind === 'none' ? to.retryAfterMs : 0;
    });
    assert.ok(new Set(delaysMs).size > 10);
  });

  // An account over its share would otherwise keep the queues so long that accounts within theirs are refused.
  it('bounds the wait of an account over it', () => {
    const { choose, recorded, router } = setUp({
      isAdmitted: true,
      admittedShare: 0.5,
      maxWaitShare: 0.01,
    });
    const more = { objectiveMs: 100_000 };
    assert.equal(choose(requestWithPrompt(1, 800, 0), more).kind, 'server');
    for (const serverId of ['s-1', 's-2']) router.loads.recordSent(serverId, 100_000, 0);
    const to = choose(requestWithPrompt(2, 800, 0), more);
    assert.ok(to.kind === 'none' && to.basis?.kind === 'overShare');
    assert.equal(recorded[1]?.outcome, 'refusedByServers');
  });

  // A request that is tried at several servers would otherwise count several times, and could be refused midway.
  it('is asked once for a request, which counts once', () => {
    const { choose, recorded, asked } = setUp(ADMITTED);
    const request = requestWithPrompt(1, 800, 0);
    assert.equal(choose(request).kind, 'server');
    assert.equal(choose(request, {}, ['s-1']).kind, 'server');
    assert.deepEqual([asked(), recorded.length], [1, 1]);
    assert.equal(recorded[0]?.outcome, 'admitted');
  });

  // If all requests counted alike, an account with large prompts could use many times its share of the servers.
  it('counts the tokens to compute, and ten for each output token', () => {
    const { choose, recorded } = setUp(ADMITTED);
    const request = requestWithPrompt(1, 800, 0);
    const demand = { parts: [], promptTokens: 800, ...request.demand, maxOutputTokens: 50 };
    choose({ ...request, demand });
    assert.equal(recorded[0]?.cost, 1_300);
  });

  // Counted as admitted, it would raise the estimated capacity while servers are full.
  it('takes a request back that was admitted and then found no room', () => {
    const { choose, recorded, late, limitMs } = setUp(ADMITTED);
    const request = requestWithPrompt(1, 800, 0);
    choose(request);
    limitMs.value = 500;
    assert.equal(choose(request).kind, 'none');
    assert.equal(choose(request).kind, 'none');
    assert.deepEqual([recorded.length, late.length], [1, 1]);
  });

  // Accounts would otherwise be limited because of a failure that has nothing to do with their demand.
  it('does not count a region without servers as full', () => {
    const { choose, recorded } = setUp(ADMITTED, false);
    choose(requestWithPrompt(1, 800, 0));
    assert.equal(recorded[0]?.outcome, 'refusedOtherwise');
  });

  // A prompt that is late at an idle server only because of its own size is no sign that servers are full.
  it('does not count a prompt that is too large for its objective as a sign of full servers', () => {
    const { choose, recorded } = setUp(ADMITTED);
    choose(requestWithPrompt(1, 500_000, 0));
    assert.notEqual(recorded[0]?.outcome, 'refusedByServers');
  });

  const uncounted = [
    { name: 'without an account', more: { account: undefined } },
    { name: 'that another instance forwarded', more: { isForwarded: true } },
  ];
  for (const { name, more } of uncounted) {
    it(`ignores a request ${name}`, () => {
      const { choose, recorded, asked } = setUp({
        isAdmitted: false,
        admittedShare: 0,
        maxWaitShare: 0,
      });
      assert.equal(choose(requestWithPrompt(1, 800, 0), more).kind, 'server');
      assert.deepEqual([asked(), recorded.length], [0, 0]);
    });
  }
});
