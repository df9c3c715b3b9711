import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { openAnnouncedServer } from '../../../standins/announced-server';
import { createConnectionPool } from './connection-pool';
import type { ExchangeEnd } from './types';

const OPTIONS = { maxConnections: 4, connectTimeoutMs: 500, maxIdleMs: 60_000 };
const REQUEST = { method: 'GET', path: '/', headers: [], body: new Uint8Array() };
/** Time from the first byte to the end of the connection, and from there to the end of the pause, ms. */
const STEP_MS = 100;

const HEADS = {
  'of no stated length': 'HTTP/1.1 200 OK\r\n\r\n',
  'that announces the close of its connection':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n',
};
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  ends: (socket) => socket.end(),
  'is reset': (socket) => socket.resetAndDestroy(),
};

// The caller of an answer reads slowly, and its connection ends meanwhile. The HTTP client does not expect that of an answer
// whose reading is paused, and the whole instance ended with all requests.
describe('an answer whose reading is paused', () => {
  for (const [headName, head] of Object.entries(HEADS)) {
    for (const [endName, end] of Object.entries(ENDS)) {
      it(`${headName} is reported if its connection ${endName}`, async () => {
        await using server = await openAnnouncedServer((_request, socket) => {
          socket.write(`${head}full`.slice(0, head.includes('Length') ? -1 : undefined));
          setTimeout(() => end(socket), STEP_MS);
        });
        using pool = createConnectionPool(() => performance.now());
        const ended = await new Promise<ExchangeEnd>((resolve) => {
          const exchange = pool.send(server.address, OPTIONS, REQUEST, {
            onHead() {},
            onData() {
              exchange?.pause();
              void sleep(2 * STEP_MS).then(() => exchange?.resume());
            },
            onEnd: resolve,
          });
        });
        const isWhole = endName === 'ends' && !head.includes('Length');
        assert.equal(ended.kind, isWhole ? 'whole' : 'lost');
      });
    }
  }
});
