import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createHoldingRoom } from './room';

const SEED = 23;
const OPTIONS = {
  totalBytes: 64,
  largestBytes: 16,
  smallBytes: 2,
  afterwards: (callback: () => void) => callback(),
};
/** Bytes that one read brings at most. */
const MAX_READ_BYTES = 4;

type Reader = ReturnType<typeof createReader>;

function createReader(room: ReturnType<typeof createHoldingRoom>) {
  let mayRead = true;
  let isOver = false;
  let held = 0;
  const holder = room.open(() => {
    mayRead = true;
  });
  return {
    bytes: () => held,
    mayRead: () => mayRead,
    isOver: () => isOver,
    read(bytes: number) {
      if (!mayRead || isOver) return;
      held = Math.min(OPTIONS.largestBytes, held + bytes);
      mayRead = holder.hold(held);
    },
    end() {
      isOver = true;
      holder[Symbol.dispose]();
    },
  };
}

// Many servers send events without end at once. If each were held as far as it goes, the instance would run out of memory;
// if all waited for room, none would end.
describe('the room for parts of answers', () => {
  const reads = fc.array(fc.tuple(fc.nat(39), fc.integer({ min: 1, max: MAX_READ_BYTES })), {
    maxLength: 600,
  });

  it('is not exceeded by more than one read for each answer, and some answer may always be read on', () => {
    fc.assert(
      fc.property(reads, (steps) => {
        const room = createHoldingRoom(OPTIONS);
        const readers: Reader[] = Array.from({ length: 40 }, () => createReader(room));
        for (const [index, bytes] of steps) {
          const reader = readers[index];
          reader?.read(bytes);
          if (reader?.bytes() === OPTIONS.largestBytes) reader.end();
          const open = readers.filter(({ isOver }) => !isOver());
          assert.ok(open.length === 0 || open.some(({ mayRead }) => mayRead()), 'all wait');
          const perReader = OPTIONS.smallBytes + MAX_READ_BYTES;
          assert.ok(room.heldBytes() <= OPTIONS.totalBytes + readers.length * perReader);
        }
        for (const reader of readers) reader.end();
        assert.equal(room.heldBytes(), 0);
      }),
      { seed: SEED },
    );
  });

  it('lets each answer become whole in the end, also if all are as large as they may be', () => {
    const room = createHoldingRoom(OPTIONS);
    const readers = Array.from({ length: 40 }, () => createReader(room));
    let most = 0;
    for (let round = 0; round < 1_000 && readers.some(({ isOver }) => !isOver()); round += 1) {
      for (const reader of readers) {
        reader.read(1);
        most = Math.max(most, room.heldBytes());
        if (reader.bytes() === OPTIONS.largestBytes) reader.end();
      }
    }
    assert.ok(readers.every(({ isOver }) => isOver()));
    assert.ok(most <= OPTIONS.totalBytes + readers.length * (OPTIONS.smallBytes + 1), `${most}`);
  });

  it('never lets small parts wait', () => {
    const room = createHoldingRoom(OPTIONS);
    const large = Array.from({ length: 40 }, () => createReader(room));
    for (let round = 0; round < 100; round += 1) for (const reader of large) reader.read(1);
    assert.ok(large.some(({ mayRead }) => !mayRead()));
    const small = createReader(room);
    small.read(OPTIONS.smallBytes);
    assert.equal(small.mayRead(), true);
  });
});
