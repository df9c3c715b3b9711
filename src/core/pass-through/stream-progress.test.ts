import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSeededRandom, pickIndex } from '../random';
import { createStreamProgress } from './stream-progress';

const EVENTS = 30;
const ROUNDS = 200;

// Guards against a piece that comes twice or never, or out of order, when two servers write the same stream in turn.
describe('two attempts that write one stream', () => {
  it('have each event passed on once and in order, however they alternate', () => {
    const random = createSeededRandom(1);
    for (let round = 0; round < ROUNDS; round += 1) {
      const progress = createStreamProgress({ monotonicMs: () => 0 }, undefined, () => {});
      progress.keepEvents();
      const passedOn: number[] = [];
      const writers = [0, 1].map(() => ({ position: progress.openPosition(), next: 0 }));
      while (passedOn.length < EVENTS) {
        const writer = writers[pickIndex(random, writers.length)];
        assert.ok(writer !== undefined);
        const event = Buffer.from(`id: ${writer.next}\ndata: ${writer.next % 2}\n\n`);
        const taken = writer.position.take(event, '1');
        assert.notEqual(taken, 'different');
        if (taken === 'new') passedOn.push(writer.next);
        writer.next += 1;
      }
      assert.deepEqual(
        passedOn,
        Array.from({ length: EVENTS }, (_unused, index) => index),
      );
    }
  });

  const cases = [
    { name: 'have another event', first: 'id: 1\ndata: a\n\n', keeps: true },
    { name: 'have the event, which is no longer kept', first: 'id: 1\ndata: b\n\n', keeps: false },
  ];
  for (const { name, first, keeps } of cases) {
    it(`are not joined if callers ${name}`, () => {
      const progress = createStreamProgress({ monotonicMs: () => 0 }, undefined, () => {});
      if (keeps) progress.keepEvents();
      const [one, other] = [progress.openPosition(), progress.openPosition()];
      one.take(Buffer.from(first), '1');
      assert.equal(other.take(Buffer.from('id: 1\ndata: b\n\n'), '1'), 'different');
    });
  }
});
