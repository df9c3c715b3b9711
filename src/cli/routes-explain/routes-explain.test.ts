import assert from 'node:assert/strict';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { after, before, describe, it } from 'node:test';
import { FLEET_OPERATOR_KEY, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { printExplanation } from './print-explanation';

describe('why a request would go where', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  const cases = [
    { region: 'windhoek', caller: 'everywhere', service: 'kit-large', says: /served here at once/ },
    {
      region: 'rundu',
      caller: 'everywhere',
      service: 'kit-assistant',
      says: /forwarded to another/,
    },
    { region: 'rundu', caller: 'home-only', service: 'kit-assistant', says: /^refused: no server/ },
    { region: 'windhoek', caller: 'home-only', service: 'orders', says: /refused with 421/ },
    { region: 'windhoek', caller: 'nobody', service: 'orders', says: /knows no caller "nobody"/ },
  ] as const;

  for (const { region, caller, service, says } of cases) {
    it(`is told at ${region} for ${caller} and ${service}`, async () => {
      const ranBefore = fleet.orders.ledger.entries.length;
      const out = new PassThrough();
      const instance = fleet.instanceIn(region).node.operatorAddress;
      const key = FLEET_OPERATOR_KEY;
      const code = await printExplanation({ instance, key, caller, service, json: false }, out);
      out.end();
      const printed = await text(out);
      assert.match(printed, says);
      assert.equal(code, caller === 'nobody' ? 1 : 0);
      assert.equal(fleet.orders.ledger.entries.length, ranBefore, 'nothing is sent');
    });
  }
});
