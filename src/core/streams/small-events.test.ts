import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createEventSplitter } from './split-events';

const CHUNK_BYTES = 65_536;
/** Bytes allocated for the events of one chunk, as a multiple of it: they are copied once. */
const MAX_ALLOCATED_SHARE = 2;

/** Counts the bytes of the buffers that are allocated while `run` runs, besides those of the shared pool. */
function countAllocated(run: () => void): number {
  const { allocUnsafeSlow } = Buffer;
  let bytes = 0;
  Buffer.allocUnsafeSlow = (size) => {
    bytes += size;
    return allocUnsafeSlow(size);
  };
  try {
    run();
  } finally {
    Buffer.allocUnsafeSlow = allocUnsafeSlow;
  }
  return bytes;
}

// A server sends blank lines or short comments as fast as they are read. If each took a buffer of its own, the instance would
// have time for nothing else, and callers of all servers would wait.
describe('a chunk of many small events', () => {
  for (const event of ['\n\n', ':\n\n', ': keep-alive\n\n', 'data: a\n\n']) {
    it(`takes memory in proportion to its bytes: ${JSON.stringify(event)}`, () => {
      const chunk = Buffer.from(event.repeat(CHUNK_BYTES / event.length));
      const splitter = createEventSplitter();
      const allocated = countAllocated(() => {
        assert.equal(splitter.add(chunk).length, Math.floor(CHUNK_BYTES / event.length));
      });
      const share = allocated / chunk.length;
      assert.ok(share <= MAX_ALLOCATED_SHARE, `${share} times its bytes`);
    });
  }
});
