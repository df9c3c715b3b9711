import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import type { Configuration } from '../configuration';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

interface Problem {
  readonly type: string;
  readonly outcome: string;
  readonly entries?: readonly { readonly region: string; readonly address: string }[];
}

const SECRET = 'the dossier of a seafarer';

describe('data that may be in one region alone', () => {
  let fleet: SmallFleet;
  let configuration: Configuration;
  before(async () => {
    fleet = await startSmallFleet();
    configuration = fleet.configuration;
  });
  after(() => fleet[Symbol.asyncDispose]());

  const publish = async (change: Partial<Configuration>) => {
    configuration = { ...configuration, ...change, version: configuration.version + 1 };
    fleet.publish(configuration);
    await waitFor(
      () =>
        fleet.instances.every(({ node }) => node.configurationVersion() === configuration.version),
      'the new version everywhere',
    );
  };

  /** Runs of anything that holds the secret, anywhere. */
  const runs = () =>
    [fleet.orders.ledger, ...[...fleet.engines.values()].map(({ ledger }) => ledger)]
      .flatMap(({ entries }) => entries)
      .filter(({ bodyText }) => bodyText.includes(SECRET)).length;

  /** Writes the head of a request and returns what the instance answers before any body is sent. */
  const answerToHead = (address: string, head: readonly string[]): Promise<string> =>
    new Promise((resolve, reject) => {
      const [host, port] = address.split(':');
      const socket = connect(Number(port), host ?? '');
      let text = '';
      socket.on('error', reject);
      socket.on('data', (chunk) => {
        text += String(chunk);
        if (!text.includes('\r\n\r\n')) return;
        socket.destroy();
        resolve(text);
      });
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
    });

  const headOf = (path: string, key: string) => [
    `POST ${path} HTTP/1.1`,
    'host: gateway',
    `authorization: Bearer ${key}`,
    'content-length: 1000',
    'expect: 100-continue',
  ];

  for (const path of ['/v1/chat/completions', '/services/orders/stock']) {
    it(`is not asked for by an instance elsewhere: ${path}`, async () => {
      // A caller whose data must stay in Rundu comes to an entry in Windhoek by mistake. Its body must not be
      // read there, and it is told where to go.
      const { node } = fleet.instanceIn('windhoek');
      const barred = await answerToHead(node.callerAddress, headOf(path, FLEET_KEYS.homeOnly));
      assert.match(barred, /^HTTP\/1\.1 421 /);
      const allowed = await answerToHead(node.callerAddress, headOf(path, FLEET_KEYS.everywhere));
      assert.match(allowed, /^HTTP\/1\.1 100 /);
    });
  }

  it('is answered with the entries that may have it, and nothing ran', async () => {
    const { node } = fleet.instanceIn('walvis-bay');
    const answer = await request(`http://${node.callerAddress}/services/orders/stock`, {
      method: 'POST',
      body: SECRET,
      headers: { authorization: `Bearer ${FLEET_KEYS.homeOnly}` },
    });
    const problem = (await answer.body.json()) as Problem;
    assert.equal(answer.statusCode, 421);
    assert.equal(problem.outcome, 'notRun');
    assert.ok(problem.entries !== undefined && problem.entries.length > 0);
    assert.ok(problem.entries.every(({ region }) => region === 'rundu'));
    assert.equal(runs(), 0);
  });

  it('is kept there whatever the caller’s headers say of regions and hops', async () => {
    // A client, or a proxy before it, sends headers that look like the system's own. None of them counts.
    const headers = {
      authorization: `Bearer ${FLEET_KEYS.homeOnly}`,
      'x-region': 'windhoek',
      'x-allowed-regions': 'windhoek,walvis-bay,rundu',
      'x-forwarded-for': '10.0.0.1',
      'x-attempt': '7',
      'idempotency-key': 'mine',
      via: '1.1 windhoek-a',
    };
    for (const region of ['windhoek', 'rundu'] as const) {
      const { node } = fleet.instanceIn(region);
      const answer = await request(`http://${node.callerAddress}/services/orders/stock`, {
        method: 'POST',
        body: SECRET,
        headers,
      });
      const problem = (await answer.body.json()) as Problem;
      assert.equal(problem.outcome, 'notRun');
    }
    assert.equal(runs(), 0);
  });

  it('does not cross into another region when no server of its own is left', async () => {
    const { node } = fleet.instanceIn('rundu');
    const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'kit-large', messages: [{ role: 'user', content: SECRET }] }),
      headers: { authorization: `Bearer ${FLEET_KEYS.homeOnly}` },
    });
    const problem = (await answer.body.json()) as Problem;
    assert.equal(problem.outcome, 'notRun');
    assert.equal(runs(), 0);
  });

  it('is nowhere in the log', async () => {
    const lines = fleet.instances.flatMap(({ logger }) => logger.lines);
    assert.ok(lines.length > 0);
    assert.ok(!JSON.stringify(lines).includes(SECRET));
    assert.ok(!JSON.stringify(lines).includes(FLEET_KEYS.homeOnly));
  });

  it('is kept back by a version that bars it from where a ticket is owned', async () => {
    // An order is placed in Windhoek; then its caller's data is confined to Rundu. Presented again in Rundu, its
    // ticket must not carry the order back to Windhoek, and nobody there may say that it did not run.
    const windhoek = fleet.instanceIn('windhoek').node;
    const place = (address: string, ticket?: string) =>
      request(`http://${address}/services/orders/place`, {
        method: 'POST',
        body: SECRET,
        headers: {
          authorization: `Bearer ${FLEET_KEYS.everywhere}`,
          ...(ticket === undefined ? {} : { 'idempotency-ticket': ticket }),
        },
      });
    const first = await place(windhoek.callerAddress);
    await first.body.dump();
    const ticket = String(first.headers['idempotency-ticket']);
    const placed = await place(windhoek.callerAddress, ticket);
    await placed.body.dump();
    assert.equal(placed.statusCode, 200);
    const ranBefore = runs();
    await publish({
      callers: configuration.callers.map((caller) => ({ ...caller, regions: ['rundu'] })),
    });
    for (const region of ['rundu', 'windhoek'] as const) {
      const answer = await place(fleet.instanceIn(region).node.callerAddress, ticket);
      const problem = (await answer.body.json()) as Problem;
      assert.equal(answer.statusCode, 421);
      assert.equal(problem.outcome, 'unknown');
    }
    assert.equal(runs(), ranBefore);
  });
});
