import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createNewsPace } from './news-pace';

/** Calls that a watcher makes in `forMs` while the source has news all the time and answers at once. */
function callsInStorm(forMs: number): number {
  const pace = createNewsPace();
  let calls = 0;
  for (let nowMs = 0; nowMs < forMs; nowMs += 10) {
    if (nowMs >= pace.nextCallAtMs()) {
      calls += 1;
      pace.noteNews(nowMs);
    }
  }
  return calls;
}

describe('the pace of calls to the source', () => {
  it('lets a single change through at once', () => {
    const pace = createNewsPace();
    pace.noteNews(1_000);
    assert.ok(pace.nextCallAtMs() <= 1_000);
    pace.noteNews(5_000);
    assert.ok(pace.nextCallAtMs() <= 5_000);
  });

  // Every server of a large deployment is replaced at once, and its entry changes several times. Whoever asks again at
  // once makes a call for each change, on each watcher, and the source turns away whoever comes late.
  it('makes two calls a second in a storm of changes', () => {
    const calls = callsInStorm(10_000);
    assert.ok(calls <= 24, `${calls} calls`);
    assert.ok(calls >= 18, `${calls} calls`);
  });

  it('lets a change through at once again after a calm', () => {
    const pace = createNewsPace();
    for (let count = 0; count < 10; count += 1) pace.noteNews(0);
    assert.ok(pace.nextCallAtMs() > 0);
    pace.noteNews(60_000);
    assert.ok(pace.nextCallAtMs() <= 60_000);
  });
});
