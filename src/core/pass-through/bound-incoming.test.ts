import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { chunkOf } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import { createSystemClock } from '../../runtime/system-clock';
import { boundIncoming } from './bound-incoming';

const MAX_BYTES = 262_144;
/** What is written until the test gives up; at the speed of a local link, far more than in one interval between looks. */
const MAX_WRITTEN_BYTES = 2_147_483_648;
const LARGE_BYTES = 20 * MAX_BYTES;
const GET = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const POST = 'POST / HTTP/1.1\r\nhost: a\r\n';
const CHUNKED_POST = `${POST}transfer-encoding: chunked\r\n\r\n`;

/** Runs a server whose requests are read or dropped, and answered at their end. */
async function withServer(readsBody: boolean, run: (port: number) => Promise<void>): Promise<void> {
  const server = createServer((incoming, response) => {
    if (readsBody) {
      incoming.on('data', () => {});
      incoming.on('end', () => response.end('ok'));
    } else {
      response.end('ok');
    }
  });
  const bound = boundIncoming(server, createSystemClock(), MAX_BYTES);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  await run((server.address() as AddressInfo).port);
  server.closeAllConnections();
  server.close();
  bound[Symbol.dispose]();
}

// Another instance, or a caller, sends what is no request without end. It was read for as long as it came, which cost the
// instance a processor.
describe('what a server receives', () => {
  const cases: readonly (readonly [name: string, begin: string, repeat: string])[] = [
    ['empty lines on a new connection', '', '\r\n'],
    ['empty lines after a request', GET, '\r\n'],
    ['blanks before the value of a header field', 'GET / HTTP/1.1\r\nA:', ' '],
    ['the size of a chunk', CHUNKED_POST, '0'],
  ];
  for (const [name, begin, repeat] of cases) {
    it(`is read to a bound: ${name}`, () =>
      withServer(true, async (port) => {
        const socket = connect(port, '127.0.0.1');
        socket.on('error', () => {});
        socket.resume();
        socket.write(begin);
        const writing = writeEndlessly(socket, repeat, MAX_WRITTEN_BYTES);
        await writing.closed;
        assert.ok(writing.writtenBytes() < MAX_WRITTEN_BYTES);
      }));
  }

  const sound: readonly (readonly [name: string, readsBody: boolean, request: string])[] = [
    [
      'a large body',
      true,
      `${POST}content-length: ${LARGE_BYTES}\r\n\r\n${'x'.repeat(LARGE_BYTES)}`,
    ],
    ['small chunks', true, CHUNKED_POST + chunkOf('x').repeat(MAX_BYTES) + chunkOf('')],
    [
      'a large body that is dropped',
      false,
      `${POST}content-length: ${LARGE_BYTES}\r\n\r\n${'x'.repeat(LARGE_BYTES)}`,
    ],
  ];
  for (const [name, readsBody, request] of sound) {
    it(`is answered, and the next request too: ${name}`, () =>
      withServer(readsBody, async (port) => {
        const socket = connect(port, '127.0.0.1');
        const text = await new Promise<string>((resolve) => {
          let received = '';
          socket.on('data', (chunk) => {
            received += chunk.toString();
            if (received.split('HTTP/1.1 200').length === 3) resolve(received);
          });
          socket.on('close', () => resolve(received));
          // In parts, so that some arrive in different intervals between looks.
          const middle = request.length / 2;
          socket.write(request.slice(0, middle));
          setTimeout(() => socket.write(request.slice(middle) + GET), 250);
        });
        assert.equal(text.split('HTTP/1.1 200').length, 3);
        socket.destroy();
      }));
  }
});
