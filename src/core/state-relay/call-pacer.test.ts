import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCallPacer } from './call-pacer';

/** Returns the calls that a watcher makes in `forMs` while the source always has changes and answers at once. */
function countCallsDuringBurst(forMs: number): number {
  const pacer = createCallPacer();
  let calls = 0;
  for (let nowMs = 0; nowMs < forMs; nowMs += 10) {
    if (nowMs >= pacer.nextCallAtMs()) {
      calls += 1;
      pacer.recordChanges(nowMs);
    }
  }
  return calls;
}

describe('the rate of calls to the source', () => {
  it('allows a call at once after a single change', () => {
    const pacer = createCallPacer();
    pacer.recordChanges(1_000);
    assert.ok(pacer.nextCallAtMs() <= 1_000);
    pacer.recordChanges(5_000);
    assert.ok(pacer.nextCallAtMs() <= 5_000);
  });

  // All servers of a large deployment are replaced at once, and their entries change several times. Without a delay,
  // each watcher would make a call for each change, and the source would refuse the later calls.
  it('is two calls a second during a burst of changes', () => {
    const calls = countCallsDuringBurst(10_000);
    assert.ok(calls <= 24, `${calls} calls`);
    assert.ok(calls >= 18, `${calls} calls`);
  });

  it('allows a call at once again after a quiet period', () => {
    const pacer = createCallPacer();
    for (let count = 0; count < 10; count += 1) pacer.recordChanges(0);
    assert.ok(pacer.nextCallAtMs() > 0);
    pacer.recordChanges(60_000);
    assert.ok(pacer.nextCallAtMs() <= 60_000);
  });
});
