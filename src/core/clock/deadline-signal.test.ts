import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createFakeClock } from '../../testing';
import { createDeadlineSignal } from '.';

describe('a signal with a deadline', () => {
  it('aborts at its time, and not before', () => {
    const clock = createFakeClock();
    const { signal } = createDeadlineSignal(clock, new AbortController().signal, 100);
    clock.advanceTo(99);
    assert.equal(signal.aborted, false);
    clock.advanceTo(100);
    assert.equal(signal.aborted, true);
  });

  it('aborts with its parent, also one that has aborted before', () => {
    const clock = createFakeClock();
    const parent = new AbortController();
    const early = createDeadlineSignal(clock, parent.signal, 100);
    parent.abort();
    const late = createDeadlineSignal(clock, parent.signal, 100);
    assert.equal(early.signal.aborted, true);
    assert.equal(late.signal.aborted, true);
  });

  it('leaves no timer behind once it is released', () => {
    const clock = createFakeClock();
    const deadline = createDeadlineSignal(clock, new AbortController().signal, 100);
    deadline[Symbol.dispose]();
    assert.equal(clock.pendingCount(), 0);
  });
});
