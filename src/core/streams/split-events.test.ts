import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createEventSplitter } from './split-events';

const SEED = 17;
const EVENT_BYTES = 4_194_304;
/** A byte is read once, and copied twice at most: when it is held, and when its event is whole. */
const MAX_WORK_PER_BYTE = 3;

/** Counts the bytes that are searched, and those that are joined, while `run` runs. */
function countWork(run: () => void): number {
  const { indexOf } = Buffer.prototype;
  const { concat } = Buffer;
  let bytes = 0;
  Buffer.prototype.indexOf = function count(this: Buffer, value: number, from = 0) {
    const found = indexOf.call(this, value, from);
    bytes += (found === -1 ? this.length : found + 1) - from;
    return found;
  } as typeof indexOf;
  Buffer.concat = (list, length) => {
    const joined = concat(list, length);
    bytes += joined.length;
    return joined;
  };
  try {
    run();
  } finally {
    Buffer.prototype.indexOf = indexOf;
    Buffer.concat = concat;
  }
  return bytes;
}

// A server sends one event without end, in small chunks. If what has come of it were copied or searched again for each
// chunk, the instance would have time for nothing else, and callers of all servers would wait.
describe('an event that arrives in small chunks', () => {
  for (const chunkBytes of [1_024, 16_384]) {
    it(`takes work in proportion to its bytes, ${chunkBytes} at a time`, () => {
      const chunk = Buffer.alloc(chunkBytes, 'x');
      const splitter = createEventSplitter();
      const work = countWork(() => {
        for (let sent = 0; sent < EVENT_BYTES; sent += chunkBytes) splitter.add(chunk);
        assert.equal(splitter.add(Buffer.from('\n\n'))[0]?.length, EVENT_BYTES + 2);
      });
      assert.ok(work <= MAX_WORK_PER_BYTE * EVENT_BYTES, `${work / EVENT_BYTES} a byte`);
    });
  }
});

describe('a stream that is cut anywhere', () => {
  it('has the same events', () => {
    const pieces = fc.array(fc.constantFrom('\n', '\r', 'data: a', ': c', 'é'), { maxLength: 40 });
    const cuts = fc.array(fc.nat(60), { maxLength: 12 });
    fc.assert(
      fc.property(pieces, cuts, (texts, at) => {
        const stream = Buffer.from(texts.join(''));
        const expected = stream.toString().match(/[^]*?\n\r?\n/g) ?? [];
        const splitter = createEventSplitter();
        const bounds = [0, ...at.sort((left, right) => left - right), stream.length];
        const events = bounds
          .slice(1)
          .flatMap((end, index) => splitter.add(stream.subarray(bounds[index], end)));
        assert.deepEqual(events.map(String), expected);
        assert.equal(splitter.heldBytes, stream.length - Buffer.concat(events).length);
      }),
      { seed: SEED },
    );
  });
});
