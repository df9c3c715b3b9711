import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStandingQueue } from './standing-queue';

const TARGETS = { interactive: 500, batch: 20_000 };
const heavy = { priority: 'interactive', callerId: 'heavy' } as const;
const light = { priority: 'interactive', callerId: 'light' } as const;

/** Turns of one flow, 100 ms apart. */
function turns(
  queue: ReturnType<typeof createStandingQueue>,
  flow: typeof heavy | typeof light,
  fromMs: number,
  waitsMs: readonly number[],
) {
  waitsMs.forEach((waitMs, index) => queue.noteTurn(flow, waitMs, fromMs + 100 * index));
}

describe('a standing queue', () => {
  // For minutes more comes in than can be served. Each request waits until its deadline is near, although
  // no more is answered than with a short queue.
  it('is told by an interval without a short wait', () => {
    const queue = createStandingQueue(TARGETS);
    turns(queue, heavy, 0, Array<number>(12).fill(900));
    assert.equal(queue.isStanding(heavy, 1_200), true);
  });

  it('is not told by a burst that drains within the interval', () => {
    const queue = createStandingQueue(TARGETS);
    turns(queue, heavy, 0, [900, 900, 700, 400, 200, 0, 0, 0, 0, 0, 0, 0]);
    assert.equal(queue.isStanding(heavy, 1_200), false);
  });

  it('lasts until an interval brings no long wait any more', () => {
    const queue = createStandingQueue(TARGETS);
    turns(queue, heavy, 0, Array<number>(12).fill(900));
    turns(queue, heavy, 1_200, Array<number>(12).fill(450));
    assert.equal(queue.isStanding(heavy, 2_400), true);
    turns(queue, heavy, 2_400, Array<number>(24).fill(100));
    assert.equal(queue.isStanding(heavy, 4_800), false);
  });

  // A heavy caller's requests wait for seconds while a light one's go first. If the light one's short waits
  // spoke for all, the heavy one's queue would grow up to its deadlines.
  it('is told per caller', () => {
    const queue = createStandingQueue(TARGETS);
    for (let atMs = 0; atMs < 2_400; atMs += 100) {
      queue.noteTurn(heavy, 900, atMs);
      queue.noteTurn(light, 5, atMs);
    }
    assert.equal(queue.isStanding(heavy, 2_400), true);
    assert.equal(queue.isStanding(light, 2_400), false);
  });

  it('is forgotten when nothing was heard of it for long', () => {
    const queue = createStandingQueue(TARGETS);
    turns(queue, heavy, 0, Array<number>(12).fill(900));
    assert.equal(queue.isStanding(heavy, 20_000), false);
  });
});
