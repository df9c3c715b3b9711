import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { openAnnouncedServer } from '../../../standins/announced-server';
import type { ServerScript } from '../../../standins/announced-server';
import { createConnectionPool } from './connection-pool';
import type { ConnectionPool } from './connection-pool';
import type { ExchangeEnd } from './types';

const OPTIONS = { maxConnections: 4, connectTimeoutMs: 500, maxIdleMs: 60_000 };

/** Sends one request and resolves with its end; `onEnd` is called first, in the callback of the end. */
function exchange(
  pool: ConnectionPool,
  address: string,
  method = 'GET',
  onEnd: () => void = () => {},
): Promise<ExchangeEnd> {
  return new Promise((resolve) => {
    const request = { method, path: '/', headers: [], body: new Uint8Array() };
    const listener = {
      onHead() {},
      onData() {},
      onEnd(end: ExchangeEnd) {
        onEnd();
        resolve(end);
      },
    };
    pool.send(address, OPTIONS, request, listener);
  });
}

// The answer to a health check announces that the server closes the connection. The request that waited for the check is
// sent at once, over the connection that is about to be closed, and its caller gets 502 though it was never sent.
describe('a request that follows an answer after which the connection is closed', () => {
  it('is answered over another connection', async () => {
    const script: ServerScript = (_request, socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok');
      socket.end();
    };
    await using server = await openAnnouncedServer(script);
    using pool = createConnectionPool(() => performance.now());
    let second: Promise<ExchangeEnd> | undefined;
    await exchange(pool, server.address, 'GET', () => {
      second = exchange(pool, server.address, 'POST');
    });
    assert.deepEqual(await second, { kind: 'whole' });
  });
});

// A server closes a connection that was idle, and the instance, busy with other work, sends the next request on it before it
// notices. The request leaves the process in no part, but its caller gets 502, and the server is suspected of a crash.
describe('a request for a connection that its server has just closed', () => {
  it('is answered over another connection, and reaches the server once', async () => {
    const sockets: Socket[] = [];
    await using server = await openAnnouncedServer((_request, socket) => {
      sockets.push(socket);
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
    using pool = createConnectionPool(() => performance.now());
    await exchange(pool, server.address);
    await setImmediate();
    sockets[0]?.destroy();
    assert.deepEqual(await exchange(pool, server.address, 'POST'), { kind: 'whole' });
    assert.equal(server.received.length, 2);
  });
});
