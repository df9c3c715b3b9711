import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { resilienceSchema } from '../configuration';
import type { Weights } from '../configuration';
import { createSeededRandom } from '../random';
import { createSpillover } from './create-spillover';
import { mayTakeForeign } from './foreign-gate';
import { willingness } from './spill-share';
import type { HomeOutlook, RemoteRegion, SpilloverDecision } from './types';

const OPTIONS = resilienceSchema.parse({}).spillover;
const OMARURU: Weights = { tailLatency: 1, remoteShare: 0.3, cost: 0.2 };
const HOOGHLY: Weights = { tailLatency: 0.3, remoteShare: 1, cost: 0.2 };
const REGIONS = [
  { region: 'walvis-bay', roundTripMs: 60 },
  { region: 'rundu', roundTripMs: 60 },
];

const CALM: HomeOutlook = {
  canServe: true,
  wouldRefuse: false,
  expectedWaitMs: 0,
  expectedServiceMs: 1_000,
  utilisation: 0.8,
};
const FULL: HomeOutlook = { ...CALM, utilisation: 1, expectedWaitMs: 4_000, wouldRefuse: true };

/** Gives one instance 20 requests a second; each that leaves is answered within a second. */
function region(weights: Weights = OMARURU) {
  const spillover = createSpillover({
    options: () => OPTIONS,
    weights: () => weights,
    random: createSeededRandom(5),
  });
  let nowMs = 0;
  const ask = (home: HomeOutlook, regions: readonly RemoteRegion[] = REGIONS): SpilloverDecision =>
    spillover.decide({ service: 'kit', home, regions, nowMs });
  /** Counts what leaves during `seconds`; `homeAt` says how home stands for each arrival. */
  const run = (
    seconds: number,
    homeAt: (arrival: number) => HomeOutlook,
    regions: readonly RemoteRegion[] = REGIONS,
  ) => {
    let left = 0;
    for (let arrival = 0; arrival < seconds * 20; arrival += 1) {
      nowMs += 50;
      const decision = ask(homeAt(arrival), regions);
      if (decision.kind === 'leave') {
        left += 1;
        spillover.begin('kit', decision.region);
        spillover.end('kit', decision.region, 'answered', nowMs);
      }
    }
    return left;
  };
  // An instance that has just started spills nothing; the tests are about later.
  run(20, () => CALM);
  return { spillover, ask, run, now: () => nowMs };
}

describe('a region with enough capacity', () => {
  it('sends nothing away, whatever waits chance brings', () => {
    const { run } = region();
    const left = run(120, (arrival) => ({
      ...CALM,
      expectedWaitMs: arrival % 5 === 0 ? 3_000 : 0,
    }));
    assert.equal(left, 0);
  });
});

// A region loses half of its servers at its peak. Users wait in queues there while servers of the next region
// stand by; if all of them were sent over at once, that region would be the next to queue.
describe('a region that is overloaded', () => {
  it('lets its share of spillover rise no faster than the bound', () => {
    const { run, spillover } = region();
    run(2, () => FULL);
    assert.ok(spillover.share('kit') > 0);
    assert.ok(spillover.share('kit') <= 2 * OPTIONS.risePerSecond);
    run(60, () => FULL);
    assert.ok(spillover.share('kit') > 0.9);
  });

  it('takes its requests back no faster than the bound once it has room again', () => {
    const { run, spillover } = region();
    run(20, () => FULL);
    run(15, () => CALM);
    const before = spillover.share('kit');
    run(5, () => CALM);
    const after = spillover.share('kit');
    assert.ok(after < before);
    assert.ok(after >= before - 5 * OPTIONS.fallPerSecond - 1e-9);
    run(60, () => CALM);
    assert.equal(spillover.share('kit'), 0);
  });

  it('keeps its share still while a few kept requests in a hundred are in excess', () => {
    const { run, spillover } = region();
    const few = (arrival: number) => (arrival % 40 === 0 ? FULL : CALM);
    run(10, () => FULL);
    run(20, few, []);
    const before = spillover.share('kit');
    run(20, few, []);
    assert.ok(before > 0.1);
    assert.equal(spillover.share('kit'), before);
  });

  it('sends away at most half as much under weights that put remote serving first', () => {
    const excess = (arrival: number) => (arrival % 10 < 3 ? FULL : CALM);
    const omaruru = region(OMARURU).run(120, excess);
    const hooghly = region(HOOGHLY).run(120, excess);
    assert.ok(hooghly > 0);
    assert.ok(hooghly <= omaruru / 2, `${hooghly} of ${omaruru}`);
    assert.equal(willingness(OMARURU), 1);
  });

  it('keeps requests at home that no other region may have', () => {
    const { run, ask } = region();
    run(30, () => FULL);
    assert.deepEqual(ask(FULL, []), { kind: 'home', reason: 'bound to home' });
  });

  const BRIEF = { ...FULL, wouldRefuse: false, expectedWaitMs: 300 };

  it('keeps a request at home while its wait is shorter than the way and a cold cache', () => {
    const { run, ask } = region();
    run(10, () => BRIEF);
    assert.deepEqual(ask(BRIEF), { kind: 'home', reason: 'gain below cost' });
  });

  it('lets requests that would wait make room for those that are bound to it', () => {
    const { run } = region();
    let arrivals = 0;
    const left = run(60, () => {
      arrivals += 1;
      return arrivals % 3 === 0 ? FULL : BRIEF;
    });
    assert.ok(left > (60 * 20) / 3, `${left} left`);
  });

  it('spills nothing in the first seconds of an instance', () => {
    const spillover = createSpillover({
      options: () => OPTIONS,
      weights: () => OMARURU,
      random: createSeededRandom(5),
    });
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
      const decision = spillover.decide({ service: 'kit', home: FULL, regions: REGIONS, nowMs });
      assert.equal(decision.kind, 'home');
    }
  });
});

// The other region may be a tenth as large, or may have lost capacity as well. Whoever goes on sending to it
// makes its own callers pay for a failure that is not theirs.
describe('another region that is full', () => {
  it('is sent half as much and nothing for a moment after each refusal', () => {
    const { spillover, run, now, ask } = region();
    run(30, () => FULL);
    for (const { region: name } of REGIONS) {
      spillover.begin('kit', name);
      spillover.end('kit', name, 'refusedForLoad', now());
    }
    assert.deepEqual(ask(FULL), { kind: 'home', reason: 'no region takes more' });
  });

  it('serves its own callers first', () => {
    const cases = [
      { home: CALM, expected: false },
      { home: { ...CALM, utilisation: 0.5 }, expected: true },
      { home: { ...CALM, utilisation: 0.5, expectedWaitMs: 10 }, expected: false },
      { home: { ...CALM, utilisation: 0.1, canServe: false }, expected: false },
    ];
    for (const { home, expected } of cases) {
      assert.equal(mayTakeForeign(home, OPTIONS), expected, JSON.stringify(home));
    }
  });
});

describe('a region without any server of the service', () => {
  it('sends everything to the regions that have one', () => {
    const { ask } = region(HOOGHLY);
    const decision = ask({ ...CALM, canServe: false });
    assert.equal(decision.kind, 'leave');
    assert.equal(decision.kind === 'leave' && decision.reason, 'home has no server');
  });
});
