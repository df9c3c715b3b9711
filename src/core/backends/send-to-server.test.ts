import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { after, before, beforeEach, describe, it } from 'node:test';
import { openFaultProxy } from '../../../standins/fault-proxy';
import type { FaultProxy } from '../../../standins/fault-proxy';
import { openPlainStandIn } from '../../../standins/plain-service';
import type { PlainStandIn } from '../../../standins/plain-service';
import { createMemorySink, sampleConfiguration, sampleRequest } from '../../testing/sample-request';
import type { Service } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, SendGuard } from '../serving';
import { createServerSender } from './send-to-server';

const orders = {
  ...sampleConfiguration().serviceNamed('orders'),
  silenceTimeoutMs: 300,
} as Service;

interface Trial {
  readonly refusal: RefusalError | undefined;
  readonly text: string;
  readonly ended: boolean;
  readonly begun: number;
}

describe('an order sent to a server over a connection that fails', () => {
  let server: PlainStandIn;
  let proxy: FaultProxy;
  const sender = createServerSender();
  before(async () => {
    server = await openPlainStandIn();
    proxy = await openFaultProxy(server.address);
  });
  after(async () => {
    await sender[Symbol.asyncDispose]();
    await proxy[Symbol.asyncDispose]();
    await server[Symbol.asyncDispose]();
  });
  beforeEach(() => {
    server.behaviour.after = 'answer';
    proxy.accept();
  });

  async function send(
    changes: Partial<GatewayRequest> = {},
    timeLeftMs = 10_000,
    lastCheck: () => void = () => {},
  ): Promise<Trial> {
    let begun = 0;
    const guard: SendGuard = {
      idempotencyKey: 'ticket-1',
      beginSend: () => {
        begun += 1;
      },
      sendFailed: () => {},
    };
    const sink = createMemorySink();
    const { signal } = new AbortController();
    const target = { serverId: 's', address: proxy.address, timeLeftMs, signal, lastCheck };
    const request = sampleRequest({ guard, service: orders, ...changes });
    try {
      await sender.send(target, request, sink);
      return { refusal: undefined, text: sink.text(), ended: sink.ends === 1, begun };
    } catch (error) {
      assert.ok(error instanceof RefusalError, String(error));
      return { refusal: error, text: sink.text(), ended: sink.ends === 1, begun };
    }
  }

  const runsOf = (body: string) => server.ledger.runsOfBody(body);

  it('is answered although an older connection has gone silent', async () => {
    // Something between the instance and the server has lost track of a connection that still looks open.
    // On it an order would be lost, and nobody could say whether it had arrived.
    const stock = sampleRequest({
      service: orders,
      method: 'GET',
      path: '/stock',
      body: new Uint8Array(),
    });
    const sink = createMemorySink();
    const target = {
      serverId: 's',
      address: proxy.address,
      timeLeftMs: 10_000,
      signal: new AbortController().signal,
      lastCheck: () => {},
    };
    await sender.send(target, stock, sink);
    proxy.silenceOpen();
    const trial = await send({ body: Buffer.from('order S') });
    assert.equal(trial.refusal, undefined);
    assert.equal(runsOf('order S'), 1);
  });

  it('did not run when no connection could be made', async () => {
    const closed = createServer();
    await new Promise<void>((resolve) => {
      closed.listen(0, '127.0.0.1', resolve);
    });
    const { port } = closed.address() as AddressInfo;
    closed.close();
    const { signal } = new AbortController();
    const target = {
      serverId: 's',
      address: `127.0.0.1:${port}`,
      timeLeftMs: 5_000,
      signal,
      lastCheck: () => {},
    };
    const guard = { idempotencyKey: 'k', beginSend: () => assert.fail(), sendFailed: () => {} };
    const request = sampleRequest({ service: orders, guard });
    await assert.rejects(
      sender.send(target, request, createMemorySink()),
      (error) => error instanceof RefusalError && error.outcome === 'notRun',
    );
  });

  it('has an unknown outcome after a reset, and is sent once', async () => {
    // The application placed the order and crashed. The HTTP client must not send it again on its own.
    server.behaviour.after = 'drop';
    const trial = await send({ body: Buffer.from('order R') });
    assert.equal(trial.refusal?.outcome, 'unknown');
    assert.equal(trial.begun, 1);
    assert.equal(runsOf('order R'), 1);
  });

  it('has an unknown outcome when the connection is reset before any answer', async () => {
    const connectionsBefore = proxy.connectionCount();
    proxy.cutNextAnswerAfter(0);
    const trial = await send({ body: Buffer.from('order Q') });
    assert.equal(trial.refusal?.outcome, 'unknown');
    assert.equal(proxy.connectionCount(), connectionsBefore + 1);
    assert.equal(runsOf('order Q'), 1);
  });

  it('has an unknown outcome when the server never answers', async () => {
    server.behaviour.after = 'silent';
    const trial = await send({ body: Buffer.from('order T') }, 200);
    assert.equal(trial.refusal?.outcome, 'unknown');
    assert.equal(runsOf('order T'), 1);
  });

  it('is not sent where the last check says no once the connection stands', async () => {
    // The configuration bars the region while the connection is being made.
    const trial = await send({ body: Buffer.from('order U') }, 5_000, () => {
      throw new RefusalError(REFUSALS.regionNotAllowed, {
        detail: 'elsewhere',
        step: 'test',
        evidence: { kind: 'neverSent' },
      });
    });
    assert.equal(trial.refusal?.outcome, 'notRun');
    assert.equal(trial.begun, 0);
    assert.equal(runsOf('order U'), 0);
  });

  it('did not run when the server refuses with a status that is declared so', async () => {
    server.behaviour.refuseStatus = 429;
    const declared = await send();
    server.behaviour.refuseStatus = 503;
    const other = await send();
    server.behaviour.refuseStatus = undefined;
    assert.equal(declared.refusal?.outcome, 'notRun');
    // Any other answer of the application is its own, and is passed on as it is.
    assert.equal(other.refusal, undefined);
    assert.match(other.text, /refused/);
  });

  it('is cut short, not ended, when its answer breaks off', async () => {
    proxy.cutNextAnswerAfter(150);
    const trial = await send({ body: Buffer.from('x'.repeat(500)) });
    assert.equal(trial.refusal?.outcome, 'unknown');
    assert.equal(trial.ended, false);
  });
});

// A server, or something before it, sends what a client may take for a whole answer though it is not, or for
// the answer to another question.
describe('an answer that is not what was asked for', () => {
  const HEAD = 'HTTP/1.1 200 OK\r\n';
  const cases = [
    {
      name: 'shorter than it states',
      bytes: `${HEAD}content-length: 10\r\n\r\nhalf`,
      closes: true,
    },
    {
      name: 'chunked, without its last chunk',
      bytes: `${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      closes: true,
    },
    {
      name: 'chunked, without its last chunk, on a connection that was to close',
      bytes: `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      closes: true,
    },
    {
      name: 'without any length',
      bytes: `${HEAD}connection: close\r\n\r\nwho knows whether this is all`,
      closes: true,
    },
    {
      name: 'with the id of another request',
      bytes: `${HEAD}x-request-id: other\r\ncontent-length: 4\r\n\r\nhalf`,
      closes: false,
    },
    {
      name: 'in the midst of which the server falls silent',
      bytes: `${HEAD}content-length: 10\r\n\r\nhalf`,
      closes: false,
    },
  ];
  for (const { name, bytes, closes } of cases) {
    it(`is not taken for one: ${name}`, async () => {
      const sockets: Socket[] = [];
      const raw = createServer((socket) => {
        sockets.push(socket);
        socket.on('error', () => {});
        socket.once('data', () => {
          if (closes) socket.end(bytes);
          else socket.write(bytes);
        });
      });
      await new Promise<void>((resolve) => {
        raw.listen(0, '127.0.0.1', resolve);
      });
      const sender = createServerSender();
      const sink = createMemorySink();
      const target = {
        serverId: 's',
        address: `127.0.0.1:${(raw.address() as AddressInfo).port}`,
        timeLeftMs: 5_000,
        signal: new AbortController().signal,
        lastCheck: () => {},
      };
      const service = { ...orders, echoesRequestId: name.includes('id of') };
      await assert.rejects(
        sender.send(target, sampleRequest({ service }), sink),
        (error) => error instanceof RefusalError && error.outcome === 'unknown',
      );
      assert.equal(sink.ends, 0);
      await sender[Symbol.asyncDispose]();
      for (const socket of sockets) socket.destroy();
      raw.close();
    });
  }

  it('is never read from a connection that delivers more than was asked for', async () => {
    // The server answers one question twice. Left on the connection, the second answer would be taken for the
    // answer to the next caller's question.
    const answer = (text: string) => `${HEAD}content-length: ${text.length}\r\n\r\n${text}`;
    let asked = 0;
    const raw = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', () => {
        asked += 1;
        socket.write(answer(`answer ${asked}`));
        if (asked === 1) socket.write(answer('late one'));
      });
    });
    await new Promise<void>((resolve) => {
      raw.listen(0, '127.0.0.1', resolve);
    });
    const sender = createServerSender();
    const target = {
      serverId: 's',
      address: `127.0.0.1:${(raw.address() as AddressInfo).port}`,
      timeLeftMs: 5_000,
      signal: new AbortController().signal,
      lastCheck: () => {},
    };
    const texts: string[] = [];
    for (let round = 0; round < 3; round += 1) {
      const sink = createMemorySink();
      await sender.send(target, sampleRequest({ service: orders }), sink).catch(() => {});
      if (sink.ends === 1) texts.push(sink.text());
    }
    assert.ok(!texts.includes('late one'), texts.join());
    assert.ok(texts.includes('answer 2') || texts.includes('answer 3'), texts.join());
    await sender[Symbol.asyncDispose]();
    raw.close();
  });
});
