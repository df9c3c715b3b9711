import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLoopWatch } from './loop-watch';

const TICK_MS = 50;

// The estimate for requests that wait unread is a mean. If the time that is left of a request were taken from it, answers
// would end before the deadlines of callers whose requests came late in a long turn.
describe('a request that is read after a turn of the loop', () => {
  for (const turnMs of [40, 90, 400, 2_700]) {
    for (const share of [0, 0.1, 0.5, 0.95, 1]) {
      it(`of ${turnMs} ms, sent after ${share} of it, has waited at least the sure part`, () => {
        const watch = createLoopWatch();
        watch.recordTick(0, TICK_MS, 0);
        const sentAtMs = turnMs * share;
        watch.recordTick(TICK_MS, turnMs + TICK_MS, Math.max(TICK_MS, turnMs));
        for (const laterMs of [0, 30, 700]) {
          const nowMs = Math.max(TICK_MS, turnMs) + laterMs;
          const sureMs = watch.waitedMs(nowMs) - watch.unsureMs(nowMs);
          assert.ok(sureMs <= nowMs - sentAtMs, `${sureMs} ms of ${nowMs - sentAtMs}`);
          assert.ok(sureMs >= 0);
        }
      });
    }
  }
});
