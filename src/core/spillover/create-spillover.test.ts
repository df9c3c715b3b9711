import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { resilienceSchema } from '../configuration';
import type { Weights } from '../configuration';
import { createSeededRandom } from '../random';
import { createSpillover } from './create-spillover';
import { mayAcceptForwarded } from './accept-forwarded';
import { spillableShareOfExcess } from './spill-share';
import type { HomeOutlook, RemoteRegion, SpilloverDecision } from './types';

const OPTIONS = resilienceSchema.parse({}).spillover;
/** Weights of two deployments: Omaruru favours a low tail latency, Hooghly avoids remote serving. */
const OMARURU: Weights = { tailLatency: 1, remoteShare: 0.3, cost: 0.2 };
const HOOGHLY: Weights = { tailLatency: 0.3, remoteShare: 1, cost: 0.2 };
const REGIONS = [
  { region: 'walvis-bay', roundTripMs: 60 },
  { region: 'rundu', roundTripMs: 60 },
];

const NORMAL: HomeOutlook = {
  canServe: true,
  wouldRefuse: false,
  expectedWaitMs: 0,
  expectedServiceMs: 1_000,
  utilisation: 0.8,
};
const FULL: HomeOutlook = { ...NORMAL, utilisation: 1, expectedWaitMs: 4_000, wouldRefuse: true };

/**
 * Simulates one instance that receives 20 requests a second; each spilled request is answered within a second.
 */
function region(weights: Weights = OMARURU) {
  const spillover = createSpillover({
    options: () => OPTIONS,
    weights: () => weights,
    random: createSeededRandom(5),
  });
  let nowMs = 0;
  const ask = (home: HomeOutlook, regions: readonly RemoteRegion[] = REGIONS): SpilloverDecision =>
    spillover.decide({ service: 'kit', home, regions, nowMs });
  /**
   * Returns how many requests are spilled during `seconds`; `homeAt` returns the state of home at each
   * arrival.
   */
  const run = (
    seconds: number,
    homeAt: (arrival: number) => HomeOutlook,
    regions: readonly RemoteRegion[] = REGIONS,
  ) => {
    let spilled = 0;
    for (let arrival = 0; arrival < seconds * 20; arrival += 1) {
      nowMs += 50;
      const decision = ask(homeAt(arrival), regions);
      if (decision.kind === 'leave') {
        spilled += 1;
        spillover.begin('kit', decision.region);
        spillover.end('kit', decision.region, 'answered', nowMs);
      }
    }
    return spilled;
  };
  // Passes the start-up period, during which an instance spills nothing.
  run(20, () => NORMAL);
  return { spillover, ask, run, now: () => nowMs };
}

describe('a region with enough capacity', () => {
  it('spills nothing, whatever random waits occur', () => {
    const { run } = region();
    const spilled = run(120, (arrival) => ({
      ...NORMAL,
      expectedWaitMs: arrival % 5 === 0 ? 3_000 : 0,
    }));
    assert.equal(spilled, 0);
  });
});

// A region loses half of its servers at its peak. Callers wait in its queues while the next region has spare
// servers; but if all requests were sent there at once, that region would become overloaded next.
describe('a region that is overloaded', () => {
  it('increases its spilled share no faster than the configured rate', () => {
    const { run, spillover } = region();
    run(2, () => FULL);
    assert.ok(spillover.share('kit') > 0);
    assert.ok(spillover.share('kit') <= 2 * OPTIONS.risePerSecond);
    run(60, () => FULL);
    assert.ok(spillover.share('kit') > 0.9);
  });

  it('decreases its spilled share no faster than the configured rate once it has capacity again', () => {
    const { run, spillover } = region();
    run(20, () => FULL);
    run(15, () => NORMAL);
    const before = spillover.share('kit');
    run(5, () => NORMAL);
    const after = spillover.share('kit');
    assert.ok(after < before);
    assert.ok(after >= before - 5 * OPTIONS.fallPerSecond - 1e-9);
    run(60, () => NORMAL);
    assert.equal(spillover.share('kit'), 0);
  });

  it('keeps its spilled share constant while a few percent of kept requests are in excess', () => {
    const { run, spillover } = region();
    const few = (arrival: number) => (arrival % 40 === 0 ? FULL : NORMAL);
    run(10, () => FULL);
    run(20, few, []);
    const before = spillover.share('kit');
    run(20, few, []);
    assert.ok(before > 0.1);
    assert.equal(spillover.share('kit'), before);
  });

  it('spills at most half as much under weights that penalise remote serving', () => {
    const excess = (arrival: number) => (arrival % 10 < 3 ? FULL : NORMAL);
    const omaruru = region(OMARURU).run(120, excess);
    const hooghly = region(HOOGHLY).run(120, excess);
    assert.ok(hooghly > 0);
    assert.ok(hooghly <= omaruru / 2, `${hooghly} of ${omaruru}`);
    assert.equal(spillableShareOfExcess(OMARURU), 1);
  });

  it('keeps requests at home that may not go to any other region', () => {
    const { run, ask } = region();
    run(30, () => FULL);
    assert.deepEqual(ask(FULL, []), { kind: 'home', reason: 'bound to home' });
  });

  const SHORT_WAIT = { ...FULL, wouldRefuse: false, expectedWaitMs: 300 };

  it('keeps a request at home while its wait is shorter than the round trip plus the cost of a cold cache', () => {
    const { run, ask } = region();
    run(10, () => SHORT_WAIT);
    assert.deepEqual(ask(SHORT_WAIT), { kind: 'home', reason: 'gain below cost' });
  });

  it('spills requests that would wait to free capacity for those that must stay at home', () => {
    const { run } = region();
    let arrivals = 0;
    const spilled = run(60, () => {
      arrivals += 1;
      return arrivals % 3 === 0 ? FULL : SHORT_WAIT;
    });
    assert.ok(spilled > (60 * 20) / 3, `${spilled} spilled`);
  });

  it('spills nothing in the first seconds after an instance starts', () => {
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

// The other region may be a tenth as large, or may have lost capacity as well. Sending it more requests after
// a refusal would make its own callers wait because of a failure elsewhere.
describe('another region that is full', () => {
  it('receives half as many requests, and none for a short time, after each refusal', () => {
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
      { home: NORMAL, expected: false },
      { home: { ...NORMAL, utilisation: 0.5 }, expected: true },
      { home: { ...NORMAL, utilisation: 0.5, expectedWaitMs: 10 }, expected: false },
      { home: { ...NORMAL, utilisation: 0.1, canServe: false }, expected: false },
    ];
    for (const { home, expected } of cases) {
      assert.equal(mayAcceptForwarded(home, OPTIONS), expected, JSON.stringify(home));
    }
  });
});

describe('a region without any server of the service', () => {
  it('sends all requests to the regions that have one', () => {
    const { ask } = region(HOOGHLY);
    const decision = ask({ ...NORMAL, canServe: false });
    assert.equal(decision.kind, 'leave');
    assert.equal(decision.kind === 'leave' && decision.reason, 'home has no server');
  });
});
