import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSteppedClock } from '../../testing';
import type { SlotVerdict } from '../brittle-servers';
import { STALL_TIMEOUT_MS } from './answer-timing';
import { createAttemptBudget } from './attempt-budget';
import type { SendableDestination } from './destinations';
import { hedgeSilence } from './hedge-silence';
import { CHAT, REQUEST, createNorthInstance } from './testing/north-instance';
import { createTriedRecord } from './tried-destinations';
import type { Attempt } from './attempt-types';

const STEP_MS = 100;

interface Situation {
  readonly attempts?: number;
  readonly retries?: number;
  /** Interval at which the first attempt receives bytes, ms; it receives none if not given. */
  readonly bytesEveryMs?: number;
  /** Interval at which the first attempt has something for its caller, ms; by default, all its bytes are that. */
  readonly progressEveryMs?: number;
  /** Whether the attempt has had something for its caller; by default, unless it is queued. */
  readonly hasProgressed?: boolean;
  /** Whether the attempt is at a server that answers other requests, and has had no byte itself. */
  readonly isQueued?: boolean;
  readonly hasOther?: boolean;
  readonly isOtherSilent?: boolean;
  /** Time after which a slot at the other server is granted, ms. */
  readonly slotAfterMs?: number;
  /** Whether the operator has turned hedges off. */
  readonly isOff?: boolean;
  /** When the request is over, ms. */
  readonly overAtMs?: number;
}

/** Runs a request whose only attempt is at server n-1, and returns when hedges begin. */
function hedge(situation: Situation, untilMs = 3_000) {
  const { attempts = 2, retries = 1, hasOther = true, overAtMs = Infinity } = situation;
  const { clock, advanceTo } = createSteppedClock(STEP_MS);
  const region = createNorthInstance([]);
  region.announce('n-1', 'north-a');
  const first = region.choose();
  assert.equal(first.kind, 'server');
  if (first.kind !== 'server') throw new TypeError('n-1 was not chosen');
  if (hasOther) region.announce('n-2', 'north-a');
  const { loads } = region.router;
  loads.recordSent('n-1', 0, 0);
  if (situation.isOtherSilent === true) loads.recordSent('n-2', 0, 0);
  let lastByteAtMs = 0;
  let lastProgressAtMs = 0;
  const open = [
    {
      to: first,
      firstByteAtMs: () => (situation.isQueued === true ? undefined : 0),
      lastByteAtMs: () => lastByteAtMs,
      hasProgressed: () => situation.hasProgressed ?? situation.isQueued !== true,
      stalledFromMs: () => lastProgressAtMs + STALL_TIMEOUT_MS,
    } as unknown as Attempt,
  ];
  const attemptBudget = createAttemptBudget(attempts, true);
  attemptBudget.reserveOne();
  const tried = createTriedRecord();
  tried.recordSent(first);
  let retriesLeft = retries;
  let releasedSlots = 0;
  const begun: { readonly atMs: number; readonly to: SendableDestination }[] = [];
  const lease = {
    release() {
      releasedSlots += 1;
    },
  };
  const decideSlot = (decide: (verdict: SlotVerdict) => void): void => {
    const grant = (): void => decide({ kind: 'granted', lease });
    const { slotAfterMs } = situation;
    if (slotAfterMs === undefined) grant();
    else clock.schedule(clock.monotonicMs() + slotAfterMs, grant);
  };
  const watch = hedgeSilence({
    clock,
    router: region.router,
    retries: {
      recordRequest() {},
      take() {
        if (retriesLeft === 0) return false;
        retriesLeft -= 1;
        return true;
      },
      giveBack() {
        retriesLeft += 1;
      },
    },
    hedges: { isEnabled: () => situation.isOff !== true, recordBegun() {} },
    limits: { requestPermit: (_serverId, decide) => decide({ kind: 'granted' }) },
    brittle: { requestSlot: (_server, decide) => decideSlot(decide) },
    mayReceive: () => true,
    request: REQUEST,
    planOfNext: () => ({
      route: CHAT,
      service: CHAT,
      kind: 'stream',
      isResumable: true,
      priority: 0,
      objectiveMs: 600,
      pauseObjectiveMs: undefined,
      maxAttempts: attempts,
      homeRegions: [],
      routesVersion: 1,
      deadlineAtMs: 10_000,
      timeoutAtMs: 10_000,
      isForwarded: false,
      account: undefined,
    }),
    attemptBudget,
    openAttempts: { list: () => open },
    tried,
    mayNotHedge: () => clock.monotonicMs() >= overAtMs,
    send(to) {
      begun.push({ atMs: clock.monotonicMs(), to });
      attemptBudget.reserveOne();
      tried.recordSent(to);
      const sentAtMs = clock.monotonicMs();
      open.push({
        to,
        firstByteAtMs: () => undefined,
        lastByteAtMs: () => sentAtMs,
        hasProgressed: () => false,
        stalledFromMs: () => sentAtMs + STALL_TIMEOUT_MS,
      } as unknown as Attempt);
      if (to.kind === 'server') loads.recordSent(to.server.incarnationId, 0, sentAtMs);
    },
  });
  const { bytesEveryMs = Infinity, progressEveryMs = bytesEveryMs } = situation;
  for (let atMs = STEP_MS; atMs <= untilMs; atMs += STEP_MS) {
    region.advanceMs(STEP_MS);
    if (atMs % bytesEveryMs === 0) {
      lastByteAtMs = atMs;
      loads.recordReceived('n-1', atMs);
    }
    if (atMs % progressEveryMs === 0) {
      lastProgressAtMs = atMs;
      loads.recordProgress('n-1', atMs);
    }
    if (situation.isQueued === true) {
      loads.recordReceived('n-1', atMs);
      loads.recordProgress('n-1', atMs);
    }
    advanceTo(atMs);
  }
  watch[Symbol.dispose]();
  return { begunAtMs: begun.map(({ atMs }) => atMs), retriesLeft, releasedSlots };
}

// A server stands still, or is gone. If nothing began beside its attempts, callers would wait for their deadline; if too
// much did, all instances together would send everything twice while servers stand still.
describe('a request whose attempt is silent', () => {
  const cases: readonly (Situation & {
    readonly name: string;
    readonly begunAtMs: readonly number[];
    readonly retriesLeft: number;
  })[] = [
    { name: 'is sent to another server', begunAtMs: [1_200], retriesLeft: 0 },
    {
      name: 'is not while bytes arrive now and then',
      bytesEveryMs: 1_000,
      begunAtMs: [],
      retriesLeft: 1,
    },
    {
      name: 'is not while its server answers others and it may be queued',
      isQueued: true,
      begunAtMs: [],
      retriesLeft: 1,
    },
    { name: 'is not beyond its limit of attempts', attempts: 1, begunAtMs: [], retriesLeft: 1 },
    {
      name: 'is not beyond the retries of all requests',
      retries: 0,
      begunAtMs: [],
      retriesLeft: 0,
    },
    { name: 'is not if there is no other', hasOther: false, begunAtMs: [], retriesLeft: 1 },
    {
      name: 'is not sent to one that is silent as well',
      isOtherSilent: true,
      begunAtMs: [],
      retriesLeft: 1,
    },
    {
      name: 'is not sent again while the second attempt may still be answered',
      attempts: 3,
      retries: 2,
      begunAtMs: [1_200],
      retriesLeft: 1,
    },
    { name: 'is not if that is turned off', isOff: true, begunAtMs: [], retriesLeft: 1 },
    { name: 'is sent once a slot is free', slotAfterMs: 200, begunAtMs: [1_400], retriesLeft: 0 },
    {
      name: 'is not if it was over before a slot was free',
      slotAfterMs: 400,
      overAtMs: 1_500,
      begunAtMs: [],
      retriesLeft: 1,
    },
  ];
  for (const { name, begunAtMs, retriesLeft, ...situation } of cases) {
    it(name, () => {
      const result = hedge(situation);
      assert.deepEqual(result.begunAtMs, begunAtMs);
      assert.equal(result.retriesLeft, retriesLeft);
      if (situation.overAtMs !== undefined) assert.equal(result.releasedSlots, 1);
    });
  }
});

// A server sends bytes that no caller can use: comments, or an event without end. If they counted as an answer, callers would
// wait for their deadline; if each long prompt were sent twice, servers that send comments meanwhile would do all work twice.
describe('a request whose attempt receives bytes', () => {
  const cases: readonly (Situation & {
    readonly name: string;
    readonly begunAtMs: readonly number[];
  })[] = [
    {
      name: 'is sent to another server if none of them is of use',
      bytesEveryMs: 100,
      progressEveryMs: Infinity,
      begunAtMs: [2_100],
    },
    {
      name: 'is so before the first event if its server answers nobody',
      bytesEveryMs: 100,
      progressEveryMs: Infinity,
      hasProgressed: false,
      begunAtMs: [2_100],
    },
    {
      name: 'is not before the first event if its server answers others',
      bytesEveryMs: 100,
      progressEveryMs: Infinity,
      hasProgressed: false,
      isQueued: true,
      begunAtMs: [],
    },
    {
      name: 'is not while an event of use arrives now and then',
      bytesEveryMs: 100,
      progressEveryMs: 1_900,
      begunAtMs: [],
    },
  ];
  for (const { name, begunAtMs, ...situation } of cases) {
    it(name, () => assert.deepEqual(hedge(situation, 6_000).begunAtMs, begunAtMs));
  }
});

// Requests that wait beside silent attempts look for room several times a second. If each look took a place in the order
// of return, refused callers would be told to come back later and later.
describe('a look for another destination that finds none', () => {
  it('does not delay the return of refused callers', () => {
    const region = createNorthInstance([]);
    const tried = createTriedRecord();
    const looks = 100;
    const plan = { route: CHAT, service: CHAT, kind: 'stream', isResumable: true } as const;
    const rest = {
      priority: 1,
      objectiveMs: 600,
      pauseObjectiveMs: undefined,
      maxAttempts: 2,
      homeRegions: [],
      routesVersion: 1,
      deadlineAtMs: 5_000,
      timeoutAtMs: 5_000,
      isForwarded: false,
      account: undefined,
    };
    const alone = createNorthInstance([]).choose(tried, { ...plan, ...rest });
    for (let look = 0; look < looks; look += 1) {
      const found = region.router.chooseBeside(REQUEST, { ...plan, ...rest }, tried, 0);
      assert.equal(found, undefined);
    }
    assert.deepEqual(region.choose(tried, { ...plan, ...rest }), alone);
  });
});
