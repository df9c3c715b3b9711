import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { openAnnouncedServer } from '../../../standins/announced-server';
import { writeEndlessly } from '../../../standins/endless-writer';
import type { EndlessWriting } from '../../../standins/endless-writer';
import { createEngineClient } from '../engine-orders';
import { createConfigurationService } from '../platform';
import { createServerProber } from '../server-health/probe-server';
import type { CheckedServer } from '../server-health/types';

const MIB = 1_048_576;
const MAX_WRITTEN_BYTES = 200 * MIB;
/** What the other side may write beyond a bound: two reads and the buffers of the connection. */
const BUFFERED_BYTES = 8 * MIB;
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

async function check(address: string): Promise<string> {
  await using prober = createServerProber();
  const rules = { path: '/health', timeoutMs: 10_000 };
  return (await prober.probe({ address, rules } as unknown as CheckedServer)).kind;
}

async function lookAtEngine(address: string): Promise<unknown> {
  await using client = createEngineClient();
  return await client.look({ engineId: 'e-1', address } as never);
}

function readConfiguration(address: string): Promise<unknown> {
  const service = createConfigurationService({ url: `http://${address}`, key: 'root' });
  return service.readRoot(new AbortController().signal);
}

// A server, an engine or the platform's configuration service answers with bytes that don't end. They were read, and the
// body kept, until the timeout of the request.
describe('an answer without end', () => {
  const cases: readonly {
    readonly name: string;
    readonly read: (address: string) => Promise<unknown>;
    readonly begin: string;
    readonly repeat: string;
    readonly maxBytes: number;
  }[] = [
    { name: 'to a health check', read: check, begin: '', repeat: '\r\n', maxBytes: 0 },
    { name: 'to a health check, in its body', read: check, begin: HEAD, repeat: 'x', maxBytes: 0 },
    { name: 'of an engine', read: lookAtEngine, begin: HEAD, repeat: ' ', maxBytes: 16 * MIB },
    {
      name: 'of the configuration service',
      read: readConfiguration,
      begin: HEAD,
      repeat: ' ',
      maxBytes: 64 * MIB,
    },
  ];
  for (const { name, read, begin, repeat, maxBytes } of cases) {
    it(`is read to a bound: ${name}`, async () => {
      let writing: EndlessWriting | undefined;
      await using server = await openAnnouncedServer((_request, socket) => {
        socket.write(begin);
        writing = writeEndlessly(socket, repeat, MAX_WRITTEN_BYTES);
      });
      const [result] = await Promise.allSettled([read(server.address)]);
      if (read === check) assert.equal(result.status, 'fulfilled');
      else assert.equal(result.status, 'rejected');
      await writing?.closed;
      assert.ok((writing?.writtenBytes() ?? 0) < maxBytes + BUFFERED_BYTES);
    });
  }
});
