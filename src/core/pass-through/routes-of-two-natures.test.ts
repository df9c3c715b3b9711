import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NOTHING_TRIED, REQUEST, createNorthInstance } from './testing/north-instance';

/** Interval between two requests, ms. */
const STEP_MS = 100;
const STEPS = 300;
const PLAIN = { ...REQUEST, demand: undefined };
const QUICK = { route: 'quick', objectiveMs: 500, answersAfterMs: 200 };
const SLOW = { route: 'slow', objectiveMs: 500, answersAfterMs: 2_500 };

/** Sends one request after the other to servers that are nearly idle, and returns how many were refused. */
function countRefused(slowEverySteps?: number): number {
  const region = createNorthInstance([]);
  region.announce('n-1', 'north-a');
  region.announce('n-2', 'north-b');
  let open: { readonly endsAtStep: number; end(): void }[] = [];
  let refused = 0;
  for (let step = 0; step < STEPS; step += 1) {
    for (const { end } of open.filter(({ endsAtStep }) => endsAtStep <= step)) end();
    open = open.filter(({ endsAtStep }) => endsAtStep > step);
    const { answersAfterMs, ...plan } =
      slowEverySteps !== undefined && step % slowEverySteps === 0 ? SLOW : QUICK;
    const to = region.choose(NOTHING_TRIED, plan, PLAIN);
    if (to.kind === 'none') refused += 1;
    else {
      const observer = region.observe(to, plan, PLAIN);
      const end = () => {
        observer.recordFirstByte();
        observer.recordEnd('answered');
      };
      open.push({ endsAtStep: step + answersAfterMs / STEP_MS, end });
    }
    region.advanceMs(STEP_MS);
  }
  return refused;
}

describe('requests of two routes at servers with free slots', () => {
  // Guards against counting what one route takes by nature as lateness of its servers, for which all others are refused.
  it('are not refused for the time that one of the routes takes', () => {
    assert.equal(countRefused(5), 0);
  });

  it('are not refused if all of them are quick', () => {
    assert.equal(countRefused(), 0);
  });
});
