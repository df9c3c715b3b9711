import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Attempt } from './attempt-types';
import { createReserve, createReserveSlots } from './reserve-attempt';

const RESERVE_MS = 3_000;
const SLOTS = 16;

/** Creates a reserve with a clock of its own, and an attempt in progress beside the one that is kept. */
function createScene(slots = createReserveSlots()) {
  let nowMs = 0;
  const tasks = new Map<object, { readonly atMs: number; run(): void }>();
  const ended: string[] = [];
  let lastByteAtMs = 0;
  let released = 0;
  const answering = {
    to: { kind: 'peer' },
    firstByteAtMs: () => 0,
    lastByteAtMs: () => lastByteAtMs,
    hasProgressed: () => true,
    stalledFromMs: () => Infinity,
  } as unknown as Attempt;
  const first = {
    hold: () => true,
    release() {
      released += 1;
    },
  } as unknown as Attempt;
  const reserve = createReserve({
    clock: {
      monotonicMs: () => nowMs,
      unixMs: () => nowMs,
      schedule(atMs, run) {
        const key = {};
        tasks.set(key, { atMs, run });
        return { [Symbol.dispose]: () => tasks.delete(key) };
      },
    },
    loads: { silentMs: () => 0, unprogressedMs: () => 0 },
    slots,
    attempts: () => [first, answering],
    end: (_attempt, cause) => ended.push(cause),
  });
  return {
    reserve,
    first,
    ended,
    released: () => released,
    tasks,
    /** Lets time pass, with a byte of the answering attempt at each step unless it is silent. */
    run(untilMs: number, isSilent: boolean) {
      for (; nowMs <= untilMs; nowMs += 100) {
        if (!isSilent) lastByteAtMs = nowMs;
        for (const [key, { atMs, run }] of [...tasks]) {
          if (atMs <= nowMs && tasks.delete(key)) run();
        }
      }
    },
  };
}

// Guards against servers that work on for requests that others answer, and against reserves that are never given back.
describe('an attempt in reserve', () => {
  it('is ended after a while if the other one goes on', () => {
    const { reserve, first, ended, released, tasks, run } = createScene();
    assert.equal(reserve.keep(first, 'silence'), true);
    run(RESERVE_MS - 100, false);
    assert.deepEqual(ended, []);
    run(RESERVE_MS, false);
    assert.deepEqual(ended, ['silence']);
    assert.equal(released(), 0);
    assert.equal(tasks.size, 0);
    assert.equal(reserve.keep(first, 'silence'), false);
  });

  it('goes on if the other one falls silent', () => {
    const { reserve, first, ended, released, run } = createScene();
    reserve.keep(first, 'silence');
    run(RESERVE_MS, true);
    assert.equal(released(), 1);
    assert.deepEqual(ended, []);
    assert.equal(reserve.isHolding(), false);
  });

  it('is not kept while as many are as an instance may have', () => {
    const slots = createReserveSlots();
    const scenes = Array.from({ length: SLOTS + 1 }, () => createScene(slots));
    const kept = scenes.map(({ reserve, first }) => reserve.keep(first, 'aborted'));
    assert.equal(kept.filter((isKept) => isKept).length, SLOTS);
    const [scene] = scenes;
    scene?.reserve[Symbol.dispose]();
    assert.deepEqual(scene?.ended, ['aborted']);
    const last = scenes.at(-1);
    assert.equal(last?.reserve.keep(last.first, 'aborted'), true);
  });
});
