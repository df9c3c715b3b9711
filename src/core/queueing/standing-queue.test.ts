import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createStandingQueueDetector } from './standing-queue';

const TARGETS = { interactive: 500, batch: 20_000 };
const heavy = { priority: 'interactive', callerId: 'heavy' } as const;
const light = { priority: 'interactive', callerId: 'light' } as const;

/** Records turns of one flow, 100 ms apart. */
function recordTurns(
  queue: ReturnType<typeof createStandingQueueDetector>,
  flow: typeof heavy | typeof light,
  fromMs: number,
  waitsMs: readonly number[],
) {
  waitsMs.forEach((waitMs, index) => queue.recordTurn(flow, waitMs, fromMs + 100 * index));
}

describe('a standing queue', () => {
  // For minutes, more requests arrive than can be served. Each waits until its deadline is near, although
  // throughput is no higher than with a short queue.
  it('is detected after an interval without a short wait', () => {
    const queue = createStandingQueueDetector(TARGETS);
    recordTurns(queue, heavy, 0, Array<number>(12).fill(900));
    assert.equal(queue.isStanding(heavy, 1_200), true);
  });

  it('is not detected in a burst that drains within the interval', () => {
    const queue = createStandingQueueDetector(TARGETS);
    recordTurns(queue, heavy, 0, [900, 900, 700, 400, 200, 0, 0, 0, 0, 0, 0, 0]);
    assert.equal(queue.isStanding(heavy, 1_200), false);
  });

  it('lasts until an interval has no long wait', () => {
    const queue = createStandingQueueDetector(TARGETS);
    recordTurns(queue, heavy, 0, Array<number>(12).fill(900));
    recordTurns(queue, heavy, 1_200, Array<number>(12).fill(450));
    assert.equal(queue.isStanding(heavy, 2_400), true);
    recordTurns(queue, heavy, 2_400, Array<number>(24).fill(100));
    assert.equal(queue.isStanding(heavy, 4_800), false);
  });

  // The requests of a heavy caller wait for seconds while those of a light caller go first. If the short waits of
  // the light caller counted for all, the queue of the heavy one would grow until waits reach its deadlines.
  it('is detected per caller', () => {
    const queue = createStandingQueueDetector(TARGETS);
    for (let atMs = 0; atMs < 2_400; atMs += 100) {
      queue.recordTurn(heavy, 900, atMs);
      queue.recordTurn(light, 5, atMs);
    }
    assert.equal(queue.isStanding(heavy, 2_400), true);
    assert.equal(queue.isStanding(light, 2_400), false);
  });

  it('expires when no turn has been recorded for long', () => {
    const queue = createStandingQueueDetector(TARGETS);
    recordTurns(queue, heavy, 0, Array<number>(12).fill(900));
    assert.equal(queue.isStanding(heavy, 20_000), false);
  });
});
