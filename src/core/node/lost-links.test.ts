import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { request } from 'undici';
import { openFaultProxy } from '../../../standins/fault-proxy';
import type { FaultProxy } from '../../../standins/fault-proxy';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

interface Told {
  readonly status: number;
  readonly ticket: string | undefined;
  readonly outcome: string | undefined;
}

/** The instances in Rundu have no server and reach all others through proxies that can be broken. */
describe('an order that goes to another region over a link that fails', () => {
  let fleet: SmallFleet;
  let proxies: Map<string, FaultProxy>;
  const BROKEN = ['windhoek-a', 'windhoek-b', 'walvis-bay-a', 'walvis-bay-b'];

  beforeEach(async () => {
    proxies = new Map();
    for (const instanceId of BROKEN) {
      const target = () => {
        const found = fleet.instances.find((instance) => instance.instanceId === instanceId);
        return `127.0.0.1:${found?.node.peerPort}`;
      };
      proxies.set(instanceId, await openFaultProxy(target));
    }
    // Instances that start call those already there, so the fleet must be known while it starts.
    const instances: SmallFleet['instances'][number][] = [];
    fleet = { instances } as unknown as SmallFleet;
    fleet = await startSmallFleet({
      peersReach: (instanceId) => proxies.get(instanceId)?.address,
      onStart: (instance) => instances.push(instance),
    });
  });
  afterEach(async () => {
    await fleet[Symbol.asyncDispose]();
    for (const proxy of proxies.values()) await proxy[Symbol.asyncDispose]();
  });

  const each = (act: (proxy: FaultProxy) => void) => [...proxies.values()].forEach(act);

  const place = async (body: string, ticket?: string, deadlineMs = 2_000): Promise<Told> => {
    const { node } = fleet.instanceIn('rundu');
    const answer = await request(`http://${node.callerAddress}/services/orders/place`, {
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${FLEET_KEYS.everywhere}`,
        'x-deadline-ms': String(deadlineMs),
        ...(ticket === undefined ? {} : { 'idempotency-ticket': ticket }),
      },
    });
    const { outcome } = (await answer.body.json()) as { outcome?: string };
    const next = answer.headers['idempotency-ticket'] as string | undefined;
    return { status: answer.statusCode, ticket: next, outcome };
  };

  it('is not lost on a connection that has gone silent before it', async () => {
    // Something between the regions has lost track of the open connections. The order is told "not run" until
    // new ones stand, and then runs once; none of the tries runs late.
    each((proxy) => proxy.silenceOpen());
    let { ticket } = await place('order S');
    let told: Told = { status: 0, ticket, outcome: undefined };
    await waitFor(async () => {
      told = await place('order S', ticket);
      if (told.outcome === 'notRun') ticket = told.ticket;
      return told.status === 200;
    }, 'the order to be placed over a new connection');
    assert.equal(fleet.orders.ledger.runsOfBody('order S'), 1);
  });

  it('ends as "unknown" when its peer is stopped in the midst, and never runs again', async () => {
    // The peer's process is stopped after it has sent the order on. Its answer never comes; when the peer wakes,
    // it must not send the order again, and no instance may say that it did not run.
    fleet.orders.behaviour.answerDelayMs = 3_000;
    const { ticket } = await place('order W');
    const placed = place('order W', ticket, 1_500);
    await waitFor(() => fleet.orders.ledger.runsOfBody('order W') === 1, 'the order to run');
    each((proxy) => proxy.freeze());
    const told = await placed;
    assert.equal(told.outcome, 'unknown');
    assert.equal(told.ticket, undefined);
    each((proxy) => proxy.thaw());
    fleet.orders.behaviour.answerDelayMs = 0;
    const again = await place('order W', ticket);
    assert.equal(again.outcome, 'unknown');
    assert.equal(fleet.orders.ledger.runsOfBody('order W'), 1);
  });

  it('did not run when the link is frozen before it, also once it has thawed', async () => {
    // The link stands still before the order is sent. The caller is told "not run"; when the link thaws,
    // whatever it held must not turn into an order.
    const { ticket } = await place('order F');
    each((proxy) => proxy.freeze());
    const told = await place('order F', ticket);
    assert.equal(told.outcome, 'notRun');
    each((proxy) => proxy.thaw());
    let next = told.ticket;
    await waitFor(async () => {
      const later = await place('order F', next);
      if (later.outcome === 'notRun') next = later.ticket;
      return later.status === 200;
    }, 'the order to be placed after the thaw');
    assert.equal(fleet.orders.ledger.runsOfBody('order F'), 1);
  });

  it('ends as "unknown" when the link is reset while it runs', async () => {
    fleet.orders.behaviour.answerDelayMs = 2_000;
    const { ticket } = await place('order R');
    const placed = place('order R', ticket, 10_000);
    await waitFor(() => fleet.orders.ledger.runsOfBody('order R') === 1, 'the order to run');
    each((proxy) => proxy.resetOpen());
    const told = await placed;
    assert.equal(told.outcome, 'unknown');
    assert.equal(fleet.orders.ledger.runsOfBody('order R'), 1);
  });
});
