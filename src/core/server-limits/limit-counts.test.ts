import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLimitCounts } from './limit-counts';

const WHOLE = 1;

describe('the permits of one server', () => {
  // Guards against a retry time that was computed from a tiny limit and outlasts it.
  it('are handed out at the new rate soon after a limit has risen', () => {
    const counts = createLimitCounts();
    for (let count = 0; count < 5; count += 1) {
      counts.take('s-1', { perSecond: 1e-7, share: WHOLE }, 0);
    }
    const rate = { perSecond: 100, share: WHOLE };
    counts.take('s-1', rate, 1_000);
    let granted = 0;
    let atMs = 1_000;
    while (atMs < 5_000) {
      const verdict = counts.take('s-1', rate, atMs);
      if (verdict.kind === 'granted') granted += 1;
      else atMs += verdict.retryAfterMs;
    }
    assert.ok(granted >= 280, `${granted} of 400`);
  });

  // Guards against a process that asks itself without end: a denied request is sent to the next server at once, and the
  // same server must not be among those that may be asked.
  it('are never denied without a wait', () => {
    const counts = createLimitCounts();
    for (const perSecond of [0, 0.25, 1 / 3, 7, 99.7, 1_000]) {
      for (let atMs = 0; atMs < 3_000; atMs += 0.37) {
        const verdict = counts.take(`s-${perSecond}`, { perSecond, share: 1 / 3 }, atMs);
        if (verdict.kind === 'denied') assert.ok(verdict.retryAfterMs >= 1);
      }
    }
  });

  it('are not saved up without bound', () => {
    const counts = createLimitCounts();
    counts.take('s-1', { perSecond: 10, share: WHOLE }, 0);
    let granted = 0;
    while (counts.take('s-1', { perSecond: 10, share: WHOLE }, 60_000).kind === 'granted') {
      granted += 1;
    }
    assert.ok(granted <= 5, `${granted} at once`);
  });
});
