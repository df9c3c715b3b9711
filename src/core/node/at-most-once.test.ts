import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { FLEET_KEYS, startSmallFleet } from '../../testing/small-fleet';
import type { SmallFleet } from '../../testing/small-fleet';
import { waitFor } from '../../testing/wait-for';

interface Told {
  readonly status: number;
  readonly ticket: string | undefined;
  readonly body: {
    readonly outcome?: string;
    readonly type?: string;
    readonly ticket?: string;
    readonly run?: number;
    readonly echo?: string;
  };
}

describe('an order that may not be repeated, over real sockets in three regions', () => {
  let fleet: SmallFleet;
  before(async () => {
    fleet = await startSmallFleet();
  });
  after(() => fleet[Symbol.asyncDispose]());

  const place = async (
    address: string,
    body: string,
    ticket?: string,
    headers: Record<string, string> = {},
  ): Promise<Told> => {
    const answer = await request(`http://${address}/services/orders/place`, {
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${FLEET_KEYS.everywhere}`,
        ...(ticket === undefined ? {} : { 'idempotency-ticket': ticket }),
        ...headers,
      },
    });
    return {
      status: answer.statusCode,
      ticket: answer.headers['idempotency-ticket'] as string | undefined,
      body: (await answer.body.json()) as Told['body'],
    };
  };

  const ticketAt = async (address: string, body: string): Promise<string> => {
    const told = await place(address, body);
    assert.equal(told.status, 428);
    assert.equal(told.body.outcome, 'notRun');
    assert.ok(told.ticket);
    assert.equal(told.body.ticket, told.ticket);
    return told.ticket;
  };

  it('needs a ticket, and runs once with it however often it is presented', async () => {
    const { node } = fleet.instanceIn('windhoek');
    const ticket = await ticketAt(node.callerAddress, 'order A');
    assert.equal(fleet.orders.ledger.runsOfBody('order A'), 0);
    const first = await place(node.callerAddress, 'order A', ticket);
    const again = await place(node.callerAddress, 'order A', ticket);
    assert.equal(first.status, 200);
    assert.deepEqual(again.body, first.body);
    assert.equal(fleet.orders.ledger.runsOfBody('order A'), 1);
    assert.ok(fleet.orders.ledger.entries.at(-1)?.idempotencyKey);
  });

  it('is not to be had past the rule by a caller’s own key or another writing of the path', async () => {
    const { node } = fleet.instanceIn('windhoek');
    const own = await place(node.callerAddress, 'order B', undefined, {
      'idempotency-key': 'mine',
    });
    assert.equal(own.status, 428);
    const paths = ['/services/orders//place', '/services/%6frders/place', '/services/orders/PLACE'];
    for (const path of paths) {
      const answer = await request(`http://${node.callerAddress}${path}`, {
        method: 'POST',
        body: 'order B',
        headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
      });
      await answer.body.dump();
      assert.ok([400, 428].includes(answer.statusCode), `${path}: ${answer.statusCode}`);
    }
    assert.equal(fleet.orders.ledger.runsOfBody('order B'), 0);
  });

  it('is handed to the owner of its ticket when it comes to another instance', async () => {
    // The caller's connection to its entry breaks, and its client goes on at a fallback in another region.
    // It gets the answer to its order from there, and the order is not placed again.
    const owner = fleet.instanceIn('windhoek').node;
    const other = fleet.instanceIn('rundu').node;
    const ticket = await ticketAt(owner.callerAddress, 'order C');
    const first = await place(owner.callerAddress, 'order C', ticket);
    const elsewhere = await place(other.callerAddress, 'order C', ticket);
    assert.deepEqual(elsewhere.body, first.body);
    assert.equal(fleet.orders.ledger.runsOfBody('order C'), 1);
  });

  it('may first come to another instance, and still runs once', async () => {
    const owner = fleet.instanceIn('windhoek').node;
    const other = fleet.instanceIn('walvis-bay').node;
    const ticket = await ticketAt(owner.callerAddress, 'order D');
    const first = await place(other.callerAddress, 'order D', ticket);
    assert.equal(first.status, 200);
    const again = await place(owner.callerAddress, 'order D', ticket);
    assert.deepEqual(again.body, first.body);
    assert.equal(fleet.orders.ledger.runsOfBody('order D'), 1);
  });

  it('is forwarded once by a region without servers of its own', async () => {
    const { node } = fleet.instanceIn('rundu');
    const ticket = await ticketAt(node.callerAddress, 'order E');
    const told = await place(node.callerAddress, 'order E', ticket);
    assert.equal(told.status, 200, JSON.stringify(told.body));
    assert.equal(fleet.orders.ledger.runsOfBody('order E'), 1);
  });

  it('ends as "unknown" when the server ran it and dropped the connection', async () => {
    // The application places the order and crashes before it answers. The caller is told that nobody knows,
    // and asking again neither runs the order nor turns the answer into "not run".
    const { node } = fleet.instanceIn('windhoek');
    for (const address of [node.callerAddress, fleet.instanceIn('rundu').node.callerAddress]) {
      const body = `order F at ${address}`;
      const ticket = await ticketAt(address, body);
      fleet.orders.behaviour.after = 'drop';
      const told = await place(address, body, ticket);
      fleet.orders.behaviour.after = 'answer';
      assert.equal(told.body.outcome, 'unknown');
      assert.equal(told.ticket, undefined);
      const again = await place(address, body, ticket);
      assert.equal(again.body.outcome, 'unknown');
      assert.equal(fleet.orders.ledger.runsOfBody(body), 1);
    }
  });

  it('may be sent again with the ticket of a refusal that vouches', async () => {
    const { node } = fleet.instanceIn('windhoek');
    const ticket = await ticketAt(node.callerAddress, 'order G');
    fleet.orders.behaviour.refuseStatus = 429;
    const told = await place(node.callerAddress, 'order G', ticket);
    fleet.orders.behaviour.refuseStatus = undefined;
    assert.equal(told.body.outcome, 'notRun');
    assert.ok(told.ticket);
    assert.notEqual(told.ticket, ticket);
    const again = await place(node.callerAddress, 'order G', told.ticket);
    assert.equal(again.status, 200);
    assert.equal(fleet.orders.ledger.runsOfBody('order G'), 1);
  });

  it('is not called "not run" by a refusal that came before its ticket was looked up', async () => {
    // The order was placed and its answer lost. The caller asks again, but its key has just been withdrawn, or
    // the body is too large for this instance. That says nothing about the first time.
    const { node } = fleet.instanceIn('windhoek');
    const ticket = await ticketAt(node.callerAddress, 'order L');
    await place(node.callerAddress, 'order L', ticket);
    const changes = [{ authorization: 'Bearer withdrawn' }, { 'x-deadline-ms': '-1' }];
    for (const headers of changes) {
      const told = await place(node.callerAddress, 'order L', ticket, headers);
      assert.ok(told.status >= 400);
      assert.equal(told.body.outcome, 'unknown');
      assert.equal(told.ticket, undefined);
    }
    const withoutTicket = await place(node.callerAddress, 'order L', undefined, changes[0]);
    assert.equal(withoutTicket.body.outcome, 'notRun');
  });

  it('gets its ticket with the name of its entry', async () => {
    const { node } = fleet.instanceIn('windhoek');
    const answer = await request(`http://${node.callerAddress}/v1/entry?service=orders`, {
      headers: { authorization: `Bearer ${FLEET_KEYS.everywhere}` },
    });
    const entry = (await answer.body.json()) as { entry: { address: string }; ticket?: string };
    if (entry.entry.address === node.callerAddress) {
      const told = await place(node.callerAddress, 'order H', entry.ticket);
      assert.equal(told.status, 200);
    } else {
      assert.equal(entry.ticket, undefined);
    }
  });

  it('is never run by another when the owner of its ticket has gone', async () => {
    // The instance that placed the order is replaced before its answer reaches the caller. Every other
    // instance says that it does not know, and none places the order again.
    const owner = fleet.instances.find(({ instanceId }) => instanceId === 'windhoek-b');
    assert.ok(owner);
    const other = fleet.instanceIn('walvis-bay').node;
    const ticket = await ticketAt(owner.node.callerAddress, 'order I');
    await place(owner.node.callerAddress, 'order I', ticket);
    const unused = await ticketAt(owner.node.callerAddress, 'order J');
    await owner.node[Symbol.asyncDispose]();
    for (const [body, presented] of [
      ['order I', ticket],
      ['order J', unused],
    ] as const) {
      const told = await place(other.callerAddress, body, presented);
      assert.equal(told.body.outcome, 'unknown', body);
      assert.equal(told.ticket, undefined);
    }
    assert.equal(fleet.orders.ledger.runsOfBody('order I'), 1);
    assert.equal(fleet.orders.ledger.runsOfBody('order J'), 0);
  });

  it('is still answered for while its owner stops, and no ticket is minted any more', async () => {
    // An operator stops an instance just after it has placed an order. The caller's answer was lost; it asks
    // another instance, which has it from the one that is stopping.
    const { node } = fleet.instanceIn('walvis-bay');
    const other = fleet.instanceIn('rundu').node;
    const ticket = await ticketAt(node.callerAddress, 'order K');
    const first = await place(node.callerAddress, 'order K', ticket);
    const drained = node.drain();
    const again = await place(other.callerAddress, 'order K', ticket);
    assert.deepEqual(again.body, first.body);
    assert.equal(fleet.orders.ledger.runsOfBody('order K'), 1);
    await waitFor(() => !node.isReady(), 'the instance to be stopping');
    await node[Symbol.asyncDispose]();
    await drained;
  });
});
