import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import fc from 'fast-check';
import { request } from 'undici';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';

/** What a caller reads of a refusal. */
interface ProblemBody {
  readonly type: string;
  readonly outcome: string;
  readonly requestId: string;
}

interface Case {
  readonly name: string;
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly status: number;
  readonly slug: string;
}

const CHAT = '/v1/chat/completions';
const bearer = { authorization: `Bearer ${FLEET_KEYS.everywhere}` };

const CASES: readonly Case[] = [
  { name: 'truncated JSON', body: '{"model":"kit-la', status: 400, slug: 'malformed-request' },
  { name: 'an empty body', body: '', status: 400, slug: 'malformed-request' },
  { name: 'JSON that is no object', body: '[1,2]', status: 400, slug: 'malformed-request' },
  {
    name: 'a model of the wrong type',
    body: '{"model":7}',
    status: 400,
    slug: 'malformed-request',
  },
  { name: 'a model of null', body: '{"model":null}', status: 400, slug: 'malformed-request' },
  {
    name: 'broken UTF-8',
    body: Buffer.from([0x7b, 0x22, 0xff, 0xfe, 0x22, 0x7d]),
    status: 400,
    slug: 'malformed-request',
  },
  { name: 'an unknown model', body: '{"model":"none"}', status: 404, slug: 'unknown-service' },
  { name: 'an unknown service', path: '/services/none/x', status: 404, slug: 'unknown-service' },
  { name: 'a path that is not there', path: '/v2/chat', status: 404, slug: 'unknown-path' },
  { name: 'a method that is not served', method: 'PUT', status: 404, slug: 'unknown-path' },
  {
    name: 'a broken percent sign in the path',
    path: '/services/orders/%zz%',
    status: 400,
    slug: 'malformed-request',
  },
  {
    name: 'a deadline that is no number',
    path: '/services/orders/stock',
    headers: { 'x-deadline-ms': 'soon' },
    status: 400,
    slug: 'malformed-request',
  },
  {
    name: 'a deadline in the past',
    path: '/services/orders/stock',
    headers: { 'x-deadline-ms': '-5' },
    status: 400,
    slug: 'malformed-request',
  },
  {
    name: 'a deadline of a century',
    path: '/services/orders/stock',
    headers: { 'x-deadline-ms': '3155760000000' },
    status: 400,
    slug: 'malformed-request',
  },
  {
    name: 'a key that nobody has',
    headers: { authorization: 'Bearer none' },
    status: 401,
    slug: 'unauthenticated',
  },
  {
    name: 'a scheme other than bearer',
    headers: { authorization: 'Basic a2V5' },
    status: 401,
    slug: 'unauthenticated',
  },
  {
    name: 'a body over the limit',
    body: Buffer.alloc(9 * 1024 * 1024, 0x20),
    status: 413,
    slug: 'body-too-large',
  },
];

/** Sends raw bytes and reads until the other side closes. */
function sendRaw(address: string, bytes: string | Buffer): Promise<string> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = connect(Number(port), host, () => socket.end(bytes));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('close', () => resolve(text));
    socket.on('error', reject);
  });
}

describe('input that no caller should send', () => {
  let fleet: SmallFleet;
  let address: string;
  before(async () => {
    fleet = await startSmallFleet();
    address = fleet.instanceIn('windhoek').node.callerAddress;
  });
  after(() => fleet[Symbol.asyncDispose]());

  const runs = () => {
    const engines = [...fleet.engines.values()].map((engine) => engine.ledger.entries.length);
    return engines.reduce((sum, count) => sum + count, fleet.orders.ledger.entries.length);
  };

  for (const { name, path = CHAT, method = 'POST', headers, body, status, slug } of CASES) {
    it(`is refused as ${slug}: ${name}`, async () => {
      const ranBefore = runs();
      const answer = await request(`http://${address}${path}`, {
        method,
        headers: { ...bearer, ...headers },
        body: body ?? '{}',
      });
      const problem = (await answer.body.json()) as ProblemBody;
      assert.equal(answer.statusCode, status);
      assert.equal(problem.type, `urn:coltsfootworks:refusal:${slug}`);
      assert.equal(problem.outcome, 'notRun');
      assert.equal(answer.headers['x-request-id'], problem.requestId);
      assert.equal(runs(), ranBefore, 'no server saw it');
    });
  }

  it('refuses header sections over the limit with 431', async () => {
    const header = `x-long: ${'a'.repeat(20_000)}`;
    const text = await sendRaw(address, `GET /v1/models HTTP/1.1\r\nhost: x\r\n${header}\r\n\r\n`);
    assert.match(text, /^HTTP\/1\.1 431 /);
    assert.match(text, /"outcome":"notRun"/);
  });

  it('answers bytes that are not HTTP with 400', async () => {
    const text = await sendRaw(address, 'this is no HTTP\r\n\r\n');
    assert.match(text, /^HTTP\/1\.1 400 /);
    assert.match(text, /"outcome":"notRun"/);
  });

  it('answers a caller that has closed its sending half', async () => {
    const lines = ['GET /v1/models HTTP/1.1', 'host: x', `authorization: ${bearer.authorization}`];
    const text = await sendRaw(address, `${lines.join('\r\n')}\r\nconnection: close\r\n\r\n`);
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.match(text, /kit-large/);
  });

  // A caller sends an order and, before its answer has come, rubbish on the same connection. Were the rubbish
  // answered with "not run", the caller would read that as the answer to its order, which runs all the same.
  it('never answers rubbish on a connection whose request still runs', async () => {
    fleet.orders.behaviour.answerDelayMs = 200;
    const lines = [
      'GET /services/orders/stock HTTP/1.1',
      'host: x',
      `authorization: ${bearer.authorization}`,
    ];
    const ranBefore = runs();
    const text = await sendRaw(address, `${lines.join('\r\n')}\r\n\r\nrubbish\r\n\r\n`);
    fleet.orders.behaviour.answerDelayMs = 0;
    assert.doesNotMatch(text, /notRun/);
    assert.ok(runs() <= ranBefore + 1);
  });

  it('stays up under any body, and serves the next request', async () => {
    const body = fc.oneof(fc.json(), fc.string(), fc.uint8Array({ maxLength: 200 }));
    await fc.assert(
      fc.asyncProperty(body, async (value) => {
        const answer = await request(`http://${address}${CHAT}`, {
          method: 'POST',
          headers: bearer,
          body: typeof value === 'string' ? value : Buffer.from(value),
        });
        const problem = (await answer.body.json()) as ProblemBody;
        assert.ok(answer.statusCode === 400 || answer.statusCode === 404);
        assert.equal(problem.outcome, 'notRun');
      }),
      { numRuns: 150, seed: 20_261_202 },
    );
    const answer = await request(`http://${address}/v1/models`, { headers: bearer });
    assert.equal(answer.statusCode, 200);
    await answer.body.dump();
  });

  it('stays up under any bytes on a new connection', async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 300 }), async (bytes) => {
        const text = await sendRaw(address, Buffer.from(bytes));
        assert.ok(text === '' || text.startsWith('HTTP/1.1 4'));
      }),
      { numRuns: 100, seed: 20_261_202 },
    );
    const answer = await request(`http://${address}/healthz`);
    assert.equal(answer.statusCode, 200);
    await answer.body.dump();
  });
});
