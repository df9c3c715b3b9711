import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { request } from 'undici';
import { ROUTING_EVENTS } from '../routing';
import { FLEET_KEYS, FLEET_REGIONS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

/** An address at which nothing listens. */
async function closedAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  server.close();
  return `127.0.0.1:${port}`;
}

/** Every instance that was handed a request, with whether it handed the request on to another one. */
function hops(fleet: SmallFleet, requestId: string) {
  return fleet.instances.flatMap(({ instanceId, logger }) =>
    logger
      .of(ROUTING_EVENTS.routed)
      .filter(({ fields }) => fields.requestId === requestId)
      .map(({ fields }) => ({ instanceId, to: fields.instance })),
  );
}

describe('a request that every region holds another to be better for', () => {
  it('is handed on by the instance that its caller asked, and by no other', async () => {
    // No region has a working server, so that each instance takes every other region for the better one. Were a
    // request that was handed over handed on again, it would circle until its deadline and load every link.
    const fleet = await startSmallFleet();
    const address = await closedAddress();
    fleet.publish({
      ...fleet.configuration,
      version: 2,
      backendServers: FLEET_REGIONS.map((region) => ({
        ...fleet.configuration.backendServers[0]!,
        id: `engine-${region}-lost`,
        service: 'kit-assistant',
        region,
        failureDomain: `${region}-a`,
        address,
      })),
    });
    await waitFor(
      () => fleet.instances.every(({ node }) => node.configurationVersion() === 2),
      'version 2 everywhere',
    );
    let handedOn = 0;
    for (let round = 0; round < 12; round += 1) {
      for (const region of FLEET_REGIONS) {
        const { node, instanceId } = fleet.instanceIn(region);
        const answer = await request(`http://${node.callerAddress}/v1/chat/completions`, {
          method: 'POST',
          body: JSON.stringify({ model: 'kit-large', messages: [{ role: 'user', content: 'x' }] }),
          headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
        });
        const problem = (await answer.body.json()) as { outcome: string };
        assert.equal(problem.outcome, 'notRun');
        const requestId = String(answer.headers['x-request-id']);
        for (const hop of hops(fleet, requestId)) {
          if (hop.to === undefined) continue;
          handedOn += 1;
          assert.equal(hop.instanceId, instanceId, `${hop.instanceId} handed ${requestId} on`);
        }
      }
    }
    assert.ok(handedOn > 0, 'no request was handed on at all');
    await fleet[Symbol.asyncDispose]();
  });
});
