import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

// A script sends far more than its account allows. Its caller must learn at once, even before it has sent a long
// body, that nothing ran and when to retry. The backend servers must not receive the excess.
describe('a caller over its limit, over real sockets', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
    const { configuration } = fleet;
    const limits = { requestsPerSecond: 0.1, burstRequests: 2 };
    const callers = configuration.callers.map((caller) => ({ ...caller, limits }));
    fleet.publish({ ...configuration, callers, version: 2 });
    await waitFor(
      () => fleet.instances.every(({ node }) => node.configurationVersion() === 2),
      'the limits to be in force',
    );
  });
  after(() => fleet[Symbol.asyncDispose]());

  it('gets a 429 with outcome notRun and a retry time after its burst was answered', async () => {
    const { node } = fleet.instanceIn('windhoek');
    const sendRequest = async () => {
      const answer = await request(`http://${node.callerAddress}/services/orders/stock`, {
        headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
      });
      const body = (await answer.body.json()) as { outcome?: string; retryAtUnixMs?: number };
      return { status: answer.statusCode, headers: answer.headers, ...body };
    };
    const answers = [await sendRequest(), await sendRequest(), await sendRequest()];
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 200, 429],
    );
    const refusal = answers[2];
    assert.equal(refusal?.outcome, 'notRun');
    assert.ok((refusal?.retryAtUnixMs ?? 0) > 0);
    assert.ok(Number(refusal?.headers['retry-after']) > 0);
    assert.equal(fleet.orders.ledger.entries.length, 2);
  });
});
