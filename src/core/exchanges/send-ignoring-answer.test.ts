import { describe, it } from 'node:test';
import { chunkOf, openAnnouncedServer } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import type { EndlessWriting } from '../../../standins/endless-writer';
import { createFakeClock, waitFor } from '../../testing';
import { createConnectionPool } from './connection-pool';
import { REST_WAIT_MS, sendIgnoringAnswer } from './send-ignoring-answer';

const OPTIONS = { maxConnections: 1, connectTimeoutMs: 500, maxIdleMs: 60_000 };
const REQUEST = { method: 'POST', path: '/load', headers: [], body: new Uint8Array() };
const HEAD = 'HTTP/1.1 200 OK\r\n';

// Another instance answers a statement of load with bytes that don't end, or not to its end. The connection was read and
// held for ever, and once all were held so, no statement was sent any more.
describe('a request whose answer is ignored', () => {
  const cases: readonly { name: string; begin: string; repeat?: string }[] = [
    {
      name: 'a body without end',
      begin: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      repeat: chunkOf('x'.repeat(1_000)),
    },
    { name: 'empty lines without end', begin: '', repeat: '\r\n' },
    { name: 'a body that does not arrive', begin: `${HEAD}Content-Length: 2\r\n\r\n` },
  ];
  for (const { name, begin, repeat } of cases) {
    it(`frees its connection after ${name}`, async () => {
      let writing: EndlessWriting | undefined;
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(begin);
        if (repeat !== undefined) writing = writeEndlessly(socket, repeat);
      });
      const clock = createFakeClock();
      using pool = createConnectionPool(() => clock.monotonicMs());
      sendIgnoringAnswer(pool, clock, server.address, OPTIONS, REQUEST);
      if (repeat === undefined) {
        await waitFor(() => clock.pendingCount() === 1, 'the head');
        clock.advanceBy(REST_WAIT_MS);
      }
      await waitFor(() => pool.count(server.address) === 0, 'the end of the connection');
      await writing?.closed;
    });
  }

  it('keeps its connection after a whole answer', async () => {
    await using server = await openAnnouncedServer((_request, socket) => {
      socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    });
    const clock = createFakeClock();
    using pool = createConnectionPool(() => clock.monotonicMs());
    sendIgnoringAnswer(pool, clock, server.address, OPTIONS, REQUEST);
    await waitFor(() => pool.hasIdleConnection(server.address, 60_000), 'the answer');
  });
});
