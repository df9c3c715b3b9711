import { Writable } from 'node:stream';
import type { TextSink } from './standard-output';

/** How long a line may wait for others, ms; what a crash can lose at the most. */
const MAX_WAIT_MS = 10;

/** Text that has waited this long is written at once, characters. */
const MAX_WAITING_CHARACTERS = 65_536;

/**
 * Gathers small writes into few large ones.
 *
 * Under load each request writes several log lines, and a system call for each costs a short request as much as its
 * own work. What is still waiting when the process exits is written then.
 */
export function createBatchingStream(sink: Pick<TextSink, 'write'>): Writable {
  let waiting = '';
  let timer: NodeJS.Timeout | undefined;

  const flush = (): void => {
    clearTimeout(timer);
    timer = undefined;
    const text = waiting;
    waiting = '';
    if (text !== '') sink.write(text);
  };

  process.on('exit', flush);
  return new Writable({
    decodeStrings: false,
    write(chunk: string | Buffer, _encoding, callback) {
      waiting += chunk.toString();
      if (waiting.length >= MAX_WAITING_CHARACTERS) flush();
      else timer ??= setTimeout(flush, MAX_WAIT_MS).unref();
      callback();
    },
    final(callback) {
      process.off('exit', flush);
      flush();
      callback();
    },
  });
}
