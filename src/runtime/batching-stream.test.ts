import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createBatchingStream } from './batching-stream';

function sinkInto(writes: string[]) {
  const write = (text: string) => {
    writes.push(text);
  };
  return { write };
}

describe('a stream that gathers small writes', () => {
  it('writes lines in their order, many at once', async () => {
    const writes: string[] = [];
    const stream = createBatchingStream(sinkInto(writes));
    const lines = Array.from({ length: 100 }, (_unused, index) => `line ${index}\n`);
    for (const line of lines) stream.write(line);
    await new Promise<void>((resolve) => {
      stream.end(resolve);
    });
    assert.equal(writes.join(''), lines.join(''));
    assert.equal(writes.length, 1);
  });

  it('does not let text pile up until its timer', () => {
    const writes: string[] = [];
    const stream = createBatchingStream(sinkInto(writes));
    for (let kilobytes = 0; kilobytes < 200; kilobytes += 1) stream.write('x'.repeat(1024));
    assert.ok(writes.length >= 3);
    stream.end();
  });
});
