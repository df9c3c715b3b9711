import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { chunkOf, openAnnouncedServer } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import { createFakeClock } from '../../testing';
import { createConnectionPool } from './connection-pool';
import { MAX_REST_BYTES } from './framing-bound';
import type { ExchangeEnd } from './types';

const OPTIONS = { maxConnections: 4, connectTimeoutMs: 500, maxIdleMs: 60_000 };
const CLOSE_BY_MS = 100;
const HEAD = 'HTTP/1.1 503 X\r\n';
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const DROPPED = {
  kind: 'lost',
  cause: 'aborted',
  reason: 'The rest of the answer was not read.',
  hasAnswerBegun: true,
} as const;
const MAX_BYTES = 33_554_432;

// A server rejects a request, and its rejection has a body without end. The head had decided all, but the connection was
// read until the deadline of the caller.
describe('the rest of an answer whose head decides', () => {
  const cases: readonly {
    readonly name: string;
    readonly write: (socket: Socket) => void;
    readonly end: ExchangeEnd;
    /** When the clock is moved after the head, ms. */
    readonly atMs: number;
    readonly openConnections: number;
  }[] = [
    {
      name: 'is read if it is short, and its connection stays open',
      write: (socket) => socket.write(`${HEAD}Content-Length: 4\r\n\r\nfull`),
      end: { kind: 'whole' },
      atMs: 0,
      openConnections: 1,
    },
    {
      name: 'is read if it is in short chunks',
      write: (socket) => socket.write(CHUNKED_HEAD + chunkOf('full').repeat(100) + chunkOf('')),
      end: { kind: 'whole' },
      atMs: 0,
      openConnections: 1,
    },
    {
      name: 'is not read if it is stated to be long',
      write: (socket) => socket.write(`${HEAD}Content-Length: ${MAX_REST_BYTES + 1}\r\n\r\n`),
      end: DROPPED,
      atMs: 0,
      openConnections: 0,
    },
    {
      name: 'is not read if only the end of the connection ends it',
      write: (socket) => socket.write(`${HEAD}\r\nfull`),
      end: DROPPED,
      atMs: 0,
      openConnections: 0,
    },
    {
      name: 'is not read on if its chunks have no end',
      write(socket) {
        socket.write(CHUNKED_HEAD);
        writeEndlessly(socket, chunkOf('x'.repeat(1_000)), MAX_BYTES);
      },
      end: DROPPED,
      atMs: 0,
      openConnections: 0,
    },
    {
      name: 'is waited for until its deadline',
      write: (socket) => socket.write(`${HEAD}Content-Length: 4\r\n\r\nfu`),
      end: DROPPED,
      atMs: CLOSE_BY_MS,
      openConnections: 0,
    },
  ];
  for (const { name, write, end, atMs, openConnections } of cases) {
    it(name, async () => {
      await using server = await openAnnouncedServer((_request, socket) => write(socket));
      using pool = createConnectionPool(() => performance.now());
      const clock = createFakeClock();
      let dataCalls = 0;
      const ended = await new Promise<ExchangeEnd>((resolve) => {
        const request = { method: 'POST', path: '/', headers: [], body: new Uint8Array() };
        const sent = pool.send(server.address, OPTIONS, request, {
          onHead() {
            sent?.discardRest(clock, CLOSE_BY_MS);
            clock.advanceTo(atMs);
          },
          onData() {
            dataCalls += 1;
          },
          onEnd: resolve,
        });
      });
      assert.deepEqual(ended, end);
      assert.equal(dataCalls, 0);
      assert.equal(pool.count(server.address), openConnections);
      assert.equal(clock.pendingCount(), 0);
    });
  }
});
