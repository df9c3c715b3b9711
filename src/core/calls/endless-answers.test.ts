import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { chunkOf, openAnnouncedServer } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import type { EndlessWriting } from '../../../standins/endless-writer';
import { createFakeClock } from '../../testing';
import { openCallClient } from '.';
import { MAX_ANSWER_BYTES } from './create-call-client';

const MAX_WRITTEN_BYTES = 3 * MAX_ANSWER_BYTES;
/** What the other side may write beyond a bound: two reads and the buffers of the connection. */
const BUFFERED_BYTES = 8_388_608;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const CHUNK = chunkOf('x'.repeat(65_536));
const CALL = { method: 'GET', path: '/', answerByMs: 1_000 } as const;

/** Calls a stand-in with a clock that stands still, so that no deadline ends the call. */
async function callOnce(address: string): Promise<string> {
  using callClient = openCallClient(createFakeClock());
  return await callClient.call(address, CALL).then(
    ({ status, text }) => `${status} with ${text.length} bytes`,
    (error: unknown) => (error as Error).message,
  );
}

// Another instance, or the store, answers a call with bytes that don't end. They were kept until the call's deadline, which
// for a watch is many seconds, and the instance ran out of memory.
describe('an answer to a call that does not end', () => {
  const cases: readonly {
    readonly name: string;
    readonly begin: string;
    readonly repeat: string;
    readonly result: RegExp;
    readonly maxBytes: number;
  }[] = [
    {
      name: 'in its body',
      begin: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
      repeat: CHUNK,
      result: /no answer \(answerBody\)/,
      maxBytes: MAX_ANSWER_BYTES + BUFFERED_BYTES,
    },
    {
      name: 'in the body of a failure, which is not needed',
      begin: `HTTP/1.1 500 X\r\n${CHUNKED}`,
      repeat: CHUNK,
      result: /^500 with 0 bytes$/,
      maxBytes: BUFFERED_BYTES,
    },
    {
      name: 'in its interim answers',
      begin: '',
      repeat: 'HTTP/1.1 103 Early Hints\r\n\r\n',
      result: /no answer \(interimAnswers\)/,
      maxBytes: BUFFERED_BYTES,
    },
  ];
  for (const { name, begin, repeat, result, maxBytes } of cases) {
    it(`ends the call at a bound: ${name}`, async () => {
      let writing: EndlessWriting | undefined;
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(begin);
        writing = writeEndlessly(socket, repeat, MAX_WRITTEN_BYTES);
      });
      assert.match(await callOnce(server.address), result);
      await writing?.closed;
      assert.ok((writing?.writtenBytes() ?? 0) < maxBytes);
    });
  }

  const sound: readonly [string, (socket: Socket) => void, string][] = [
    [
      'a large answer',
      (socket) => socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${CHUNK.repeat(640)}${chunkOf('')}`),
      `200 with ${640 * 65_536} bytes`,
    ],
    [
      'a failure with a body',
      (socket) => socket.write('HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nbusy'),
      '503 with 0 bytes',
    ],
  ];
  for (const [name, write, result] of sound) {
    it(`does not keep others from being read: ${name}`, async () => {
      await using server = await openAnnouncedServer((_request, socket) => write(socket));
      assert.equal(await callOnce(server.address), result);
    });
  }
});
