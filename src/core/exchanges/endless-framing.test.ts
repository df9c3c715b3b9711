import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { chunkOf, openAnnouncedServer } from '../../../standins/announced-server';
import type { ServerScript } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import type { EndlessWriting } from '../../../standins/endless-writer';
import type { EndlessShape } from '../outcomes';
import { createConnectionPool } from './connection-pool';
import type { ConnectionPool } from './connection-pool';
import type { ExchangeEnd } from './types';

const OPTIONS = { maxConnections: 4, connectTimeoutMs: 500, maxIdleMs: 60_000 };
/** Bytes a server may write before the connection is closed: the bound, two reads, and the buffers of the connection. */
const MAX_WRITTEN_BYTES = 8_388_608;
const INTERIM_ANSWER = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n';
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const SOUND_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

interface Result {
  readonly end: ExchangeEnd;
  readonly bodyBytes: number;
}

function exchange(pool: ConnectionPool, address: string, pauseMs = 0): Promise<Result> {
  return new Promise((resolve) => {
    const request = { method: 'GET', path: '/', headers: [], body: new Uint8Array() };
    let bodyBytes = 0;
    const sent = pool.send(address, OPTIONS, request, {
      onHead() {},
      onData(chunk) {
        bodyBytes += chunk.length;
        if (pauseMs === 0) return;
        sent?.pause();
        setTimeout(() => sent?.resume(), pauseMs);
      },
      onEnd: (end) => resolve({ end, bodyBytes }),
    });
  });
}

// A server writes what is no answer until its connection is closed. It was read until the caller's deadline, and cost the
// instance as much processor time as the server could make it spend.
describe('an answer whose framing does not end', () => {
  const cases: readonly { shape: EndlessShape; name: string; begin: string; repeat: string }[] = [
    { shape: 'interimAnswers', name: 'interim answers', begin: '', repeat: INTERIM_ANSWER },
    { shape: 'emptyLines', name: 'empty lines before the head', begin: '', repeat: '\r\n' },
    { shape: 'head', name: 'a status line', begin: 'HTTP/1.1 200 ', repeat: 'x' },
    {
      shape: 'head',
      name: 'blanks before the value of a header field',
      begin: 'HTTP/1.1 200 OK\r\nA:',
      repeat: ' ',
    },
    { shape: 'head', name: 'header fields', begin: 'HTTP/1.1 200 OK\r\n', repeat: 'A: b\r\n' },
    { shape: 'chunkFraming', name: 'trailers', begin: `${CHUNKED_HEAD}0\r\n`, repeat: 'A: b\r\n' },
    {
      shape: 'chunkFraming',
      name: 'a chunk extension',
      begin: `${CHUNKED_HEAD}2;x=`,
      repeat: 'x',
    },
    {
      shape: 'chunkFraming',
      name: 'a chunk extension after bytes of the body',
      begin: `${CHUNKED_HEAD}${chunkOf('ok')}2;x=`,
      repeat: 'x',
    },
    { shape: 'chunkFraming', name: 'the size of a chunk', begin: CHUNKED_HEAD, repeat: '0' },
  ];
  for (const { shape, name, begin, repeat } of cases) {
    it(`ends at its bound, with its connection: ${name}`, async () => {
      let writing: EndlessWriting | undefined;
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(begin);
        writing = writeEndlessly(socket, repeat, 4 * MAX_WRITTEN_BYTES);
      });
      using pool = createConnectionPool(() => performance.now());
      const { end } = await exchange(pool, server.address);
      assert.ok(end.kind === 'lost' && end.cause === 'endless', JSON.stringify(end));
      assert.equal(end.endless.shape, shape);
      await writing?.closed;
      assert.ok((writing?.writtenBytes() ?? 0) < MAX_WRITTEN_BYTES);
      assert.equal(pool.count(server.address), 0);
    });
  }

  it('ends an idle connection as well', async () => {
    let writing: EndlessWriting | undefined;
    await using server = await openAnnouncedServer((_request, socket) => {
      socket.write(SOUND_ANSWER);
      setTimeout(() => {
        writing = writeEndlessly(socket, '\r\n', 4 * MAX_WRITTEN_BYTES);
      }, 20);
    });
    using pool = createConnectionPool(() => performance.now());
    const { end } = await exchange(pool, server.address);
    assert.equal(end.kind, 'whole');
    await sleep(30);
    await writing?.closed;
    assert.ok((writing?.writtenBytes() ?? 0) < MAX_WRITTEN_BYTES);
  });
});

// Sound servers send interim answers, long headers and trailers, and bodies in small chunks for as long as they like.
describe('an answer with much framing', () => {
  const oneByteChunks = `${chunkOf('x').repeat(100_000)}${chunkOf('')}`;
  const longTrailer = `0\r\nA: ${'x'.repeat(15_000)}\r\n\r\n`;
  const cases: readonly { name: string; answer: string; bodyBytes: number; pauseMs?: number }[] = [
    { name: 'an interim answer', answer: INTERIM_ANSWER + SOUND_ANSWER, bodyBytes: 2 },
    {
      name: 'many interim answers',
      answer: INTERIM_ANSWER.repeat(1_000) + SOUND_ANSWER,
      bodyBytes: 2,
    },
    { name: 'an empty line before the head', answer: `\r\n${SOUND_ANSWER}`, bodyBytes: 2 },
    {
      name: 'long headers and trailers',
      answer: `HTTP/1.1 200 OK\r\nB: ${'x'.repeat(15_000)}\r\nTransfer-Encoding: chunked\r\n\r\n${chunkOf('ok')}${longTrailer}`,
      bodyBytes: 2,
    },
    { name: 'chunks of one byte', answer: CHUNKED_HEAD + oneByteChunks, bodyBytes: 100_000 },
    {
      name: 'chunks of 1,000 bytes for a caller who pauses',
      answer: `${CHUNKED_HEAD}${chunkOf('x'.repeat(1_000)).repeat(200)}${chunkOf('')}`,
      bodyBytes: 200_000,
      pauseMs: 1,
    },
  ];
  for (const { name, answer, bodyBytes, pauseMs } of cases) {
    it(`is read whole: ${name}`, async () => {
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(answer);
      });
      using pool = createConnectionPool(() => performance.now());
      const result = await exchange(pool, server.address, pauseMs);
      assert.deepEqual(result, { end: { kind: 'whole' }, bodyBytes });
    });
  }

  it('is read whole: one byte at a time, slowly', async () => {
    const script: ServerScript = async (_request, socket) => {
      for (const byte of CHUNKED_HEAD + chunkOf('ok') + chunkOf('')) {
        socket.write(byte);
        await sleep(1);
      }
    };
    await using server = await openAnnouncedServer(script);
    using pool = createConnectionPool(() => performance.now());
    const result = await exchange(pool, server.address);
    assert.deepEqual(result, { end: { kind: 'whole' }, bodyBytes: 2 });
  });

  it('is read whole: 100 MB in chunks', async () => {
    const chunk = chunkOf('x'.repeat(65_536));
    const chunks = 1_526;
    await using server = await openAnnouncedServer((_request, socket) => {
      let sent = 0;
      const write = (): void => {
        while (sent < chunks) {
          sent += 1;
          if (!socket.write(chunk)) return;
        }
        if (sent === chunks) socket.write(chunkOf(''));
        sent += 1;
      };
      socket.on('drain', write);
      socket.write(CHUNKED_HEAD);
      write();
    });
    using pool = createConnectionPool(() => performance.now());
    const result = await exchange(pool, server.address);
    assert.deepEqual(result, { end: { kind: 'whole' }, bodyBytes: chunks * 65_536 });
  });
});
