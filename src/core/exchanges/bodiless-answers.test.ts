import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openAnnouncedServer } from '../../../standins/announced-server';
import { createConnectionPool } from './connection-pool';
import type { ConnectionPool } from './connection-pool';
import type { ExchangeEnd } from './types';

const OPTIONS = { maxConnections: 4, connectTimeoutMs: 500, maxIdleMs: 60_000 };

function exchange(pool: ConnectionPool, address: string, method: string): Promise<ExchangeEnd> {
  return new Promise((resolve) => {
    const request = { method, path: '/', headers: [], body: new Uint8Array() };
    pool.send(address, OPTIONS, request, { onHead() {}, onData() {}, onEnd: resolve });
  });
}

// An answer of status 204 or 304, or to HEAD, states no length and has no body. It was taken for one that ends with its
// connection, which stays open: callers waited until their deadline, and got 502 although the request had run.
describe('an answer that has no body by its nature', () => {
  const cases = [
    { name: 'status 204', method: 'POST', head: 'HTTP/1.1 204 No Content\r\n\r\n' },
    { name: 'status 304', method: 'GET', head: 'HTTP/1.1 304 Not Modified\r\n\r\n' },
    {
      name: 'status 304 that states the length of what it stands for',
      method: 'GET',
      head: 'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n',
    },
    {
      name: 'an answer to HEAD that states the length of what it stands for',
      method: 'HEAD',
      head: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
    },
    { name: 'an answer to HEAD', method: 'HEAD', head: 'HTTP/1.1 200 OK\r\n\r\n' },
  ];
  for (const { name, method, head } of cases) {
    it(`is whole while its connection stays open: ${name}`, async () => {
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(head);
      });
      using pool = createConnectionPool(() => performance.now());
      assert.deepEqual(await exchange(pool, server.address, method), { kind: 'whole' });
    });
  }
});
