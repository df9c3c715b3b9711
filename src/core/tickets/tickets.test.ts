import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FAKE_EPOCH_UNIX_MS, createFakeClock } from '../../testing/fake-clock';
import { createMemoryLogger } from '../../testing/memory-logger';
import {
  answerWith,
  createMemorySink,
  sampleConfiguration,
  sampleRequest,
} from '../../testing/sample-request';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest } from '../serving';
import { createTickets } from './create-tickets';
import type { Tickets } from './create-tickets';
import type { RunCall } from './run-ticket';
import { VOUCH_AFTER_EXPIRY_MS } from './ticket-records';
import { readTicket } from './ticket-text';

const VALID_MS = 10_000;
const BINDING = { callerId: 'dealer', service: 'orders' };

interface Bounds {
  readonly incarnation?: number;
  readonly key?: string;
  readonly records?: number;
  readonly heldBytes?: number;
  readonly answerBytes?: number;
}

function setUp(bounds: Bounds = {}) {
  const clock = createFakeClock();
  let ids = 0;
  const tickets = createTickets({
    clock,
    logger: createMemoryLogger(),
    instanceId: 'windhoek-a',
    incarnation: bounds.incarnation ?? 1,
    key: Buffer.from(bounds.key ?? 'key-of-this-process'),
    newTicketId: () => {
      ids += 1;
      return `ticket-${ids}`;
    },
    limits: { records: bounds.records ?? 100, heldBytes: bounds.heldBytes ?? 1_000 },
    answerBytes: bounds.answerBytes ?? 100,
  });
  const mint = (): string => {
    const minted = tickets.mint(BINDING, VALID_MS);
    assert.ok(minted);
    return minted.ticket;
  };
  return { clock, tickets, mint };
}

/** Presents a ticket; gives the body of the answer or the refusal. */
async function present(
  tickets: Tickets,
  ticket: string,
  run: RunCall,
  changes: Partial<GatewayRequest> = {},
  signal: AbortSignal = new AbortController().signal,
): Promise<string | RefusalError> {
  const sink = createMemorySink();
  const presented = readTicket(ticket);
  assert.ok(presented);
  try {
    await tickets.redeem(presented, sampleRequest(changes), sink, signal, run);
    assert.equal(sink.ends, 1);
    return sink.text();
  } catch (error) {
    assert.ok(error instanceof RefusalError);
    return error;
  }
}

/** A server behind the tickets that counts its runs. */
function countingServer(answer = 'order 1') {
  let runs = 0;
  const run: RunCall = async ({ guard }, sink) => {
    guard?.beginSend();
    runs += 1;
    await answerWith(sink, answer);
  };
  return { run, runs: () => runs };
}

function refusalOf(result: string | RefusalError): RefusalError {
  assert.ok(result instanceof RefusalError, `answered ${String(result)}`);
  return result;
}

describe('a ticket presented again', () => {
  it('joins the run while it runs, and both get its answer', async () => {
    // A caller's connection breaks while its order is being placed, and its client sends the order again at
    // once. The caller sees one order and one answer.
    const { tickets, mint } = setUp();
    const ticket = mint();
    let finish: () => void = () => {};
    let runs = 0;
    const run: RunCall = async ({ guard }, sink) => {
      guard?.beginSend();
      runs += 1;
      await new Promise<void>((resolve) => {
        finish = resolve;
      });
      await answerWith(sink, 'order 1');
    };
    const first = present(tickets, ticket, run);
    const second = present(tickets, ticket, run);
    finish();
    assert.deepEqual(await Promise.all([first, second]), ['order 1', 'order 1']);
    assert.equal(runs, 1);
  });

  it('gets the same answer after the run', async () => {
    const { tickets, mint } = setUp();
    const ticket = mint();
    const server = countingServer();
    await present(tickets, ticket, server.run);
    assert.equal(await present(tickets, ticket, server.run), 'order 1');
    assert.equal(server.runs(), 1);
  });

  it('is told that the call ran when the answer is no longer held', async () => {
    // The answer was let go of to keep within memory, or was too large to hold. The caller learns that its
    // order stands, and that it must look its result up.
    for (const bounds of [{ heldBytes: 5 }, { answerBytes: 5 }]) {
      const { tickets, mint } = setUp(bounds);
      const ticket = mint();
      const server = countingServer();
      assert.equal(await present(tickets, ticket, server.run), 'order 1');
      const refusal = refusalOf(await present(tickets, ticket, server.run));
      assert.equal(refusal.definition, REFUSALS.answerNotHeld);
      assert.equal(refusal.outcome, 'ran');
      assert.equal(server.runs(), 1);
      assert.equal(tickets.counts().heldBytes, 0);
    }
  });

  it('gets the same refusal, with the same outcome, for as long as records are kept', async () => {
    // The server reset the connection after the order had left. Nobody knows whether it ran, and asking
    // again must not turn that into "not run" or run it.
    const { clock, tickets, mint } = setUp();
    const ticket = mint();
    let runs = 0;
    const run: RunCall = async ({ guard }) => {
      guard?.beginSend();
      runs += 1;
      const evidence = { kind: 'lostAfterSending', cause: 'reset' } as const;
      guard?.sendFailed(evidence);
      throw new RefusalError(REFUSALS.serverFailed, { detail: 'reset', step: 'send', evidence });
    };
    assert.equal(refusalOf(await present(tickets, ticket, run)).outcome, 'unknown');
    for (const waitMs of [0, VALID_MS, VOUCH_AFTER_EXPIRY_MS]) {
      clock.advanceBy(waitMs);
      assert.equal(refusalOf(await present(tickets, ticket, run)).outcome, 'unknown');
    }
    assert.equal(runs, 1);
  });
});

describe('a ticket that does not fit', () => {
  const cases = [
    { name: 'another body', changes: { body: Buffer.from('two truss packs') } },
    { name: 'another path', changes: { path: '/place?again' } },
    {
      name: 'another caller',
      changes: { caller: sampleConfiguration().callerById('farmer') },
    },
  ];
  for (const { name, changes } of cases) {
    it(`is refused for ${name}, and nothing is said about the first call`, async () => {
      // A client writes its order anew before it repeats it, or a ticket leaks to another caller. Told "not
      // run" it would take another ticket, and the order would be placed twice.
      const { tickets, mint } = setUp();
      const ticket = mint();
      const server = countingServer();
      await present(tickets, ticket, server.run);
      const refusal = refusalOf(
        await present(tickets, ticket, server.run, changes as Partial<GatewayRequest>),
      );
      assert.equal(refusal.outcome, 'unknown');
      assert.equal(server.runs(), 1);
    });
  }

  it('is refused when its seal was changed', async () => {
    const { tickets, mint } = setUp();
    const ticket = mint();
    const changed = ticket.replace(`.${VALID_MS}.`, `.${VALID_MS * 1000}.`);
    assert.notEqual(changed, ticket);
    const server = countingServer();
    const refusal = refusalOf(await present(tickets, changed, server.run));
    assert.equal(refusal.definition, REFUSALS.ticketNotKnown);
    assert.equal(server.runs(), 0);
  });

  it('is not known to a process that was started again under the same name', async () => {
    // The instance crashed after it had sent an order, and was replaced. The new process knows nothing of
    // the ticket; were it to run the call, the order would be placed twice.
    const { mint } = setUp();
    const ticket = mint();
    const restarted = setUp({ incarnation: 2, key: 'another-key' });
    const presented = readTicket(ticket);
    assert.ok(presented);
    assert.equal(restarted.tickets.owns(presented), false);
    const sameTime = setUp({ key: 'another-key' });
    const server = countingServer();
    const refusal = refusalOf(await present(sameTime.tickets, ticket, server.run));
    assert.equal(refusal.outcome, 'unknown');
    assert.equal(server.runs(), 0);
  });
});

describe('a ticket that expires', () => {
  it('before it is presented is vouched for while records are kept, and no longer', async () => {
    const { clock, tickets, mint } = setUp();
    const ticket = mint();
    const server = countingServer();
    clock.advanceBy(VALID_MS);
    assert.equal(refusalOf(await present(tickets, ticket, server.run)).outcome, 'notRun');
    clock.advanceBy(VOUCH_AFTER_EXPIRY_MS);
    assert.equal(refusalOf(await present(tickets, ticket, server.run)).outcome, 'unknown');
    assert.equal(server.runs(), 0);
  });

  it('between its presentation and the first byte is not sent', async () => {
    // The process sleeps after it has taken the order in, and wakes when the caller has long given up and
    // perhaps ordered elsewhere. It must not send the order then.
    const { clock, tickets, mint } = setUp();
    const ticket = mint();
    const server = countingServer();
    const run: RunCall = async (request, sink, signal) => {
      clock.advanceBy(VALID_MS);
      await server.run(request, sink, signal);
    };
    const refusal = refusalOf(await present(tickets, ticket, run));
    assert.equal(refusal.definition, REFUSALS.ticketExpired);
    assert.equal(refusal.outcome, 'notRun');
    assert.equal(server.runs(), 0);
  });
});

describe('the run under a ticket', () => {
  it('goes on when its caller goes after the call was sent', async () => {
    // The caller hangs up while its order is being placed. The order stands; the caller learns its number
    // when it presents the ticket again.
    const { tickets, mint } = setUp();
    const ticket = mint();
    const gone = new AbortController();
    const run: RunCall = async ({ guard }, sink, signal) => {
      guard?.beginSend();
      gone.abort();
      assert.equal(signal.aborted, false);
      await answerWith(sink, 'order 1');
    };
    await present(tickets, ticket, run, {}, gone.signal);
    assert.equal(await present(tickets, ticket, run), 'order 1');
  });

  it('is taken back when its caller goes before the call was sent', async () => {
    const { tickets, mint } = setUp();
    const ticket = mint();
    const gone = new AbortController();
    const run: RunCall = async ({ guard }, sink, signal) => {
      gone.abort();
      if (signal.aborted) throw new Error('stopped');
      guard?.beginSend();
      await answerWith(sink, 'order 1');
    };
    const refusal = refusalOf(await present(tickets, ticket, run, {}, gone.signal));
    assert.equal(refusal.definition, REFUSALS.callerGone);
    assert.equal(refusal.outcome, 'notRun');
  });

  it('may go to another server only when the first has vouched', async () => {
    const cases = [
      { evidence: { kind: 'neverSent' }, sends: 2 },
      { evidence: { kind: 'refusedByServer', declaredNotRun: true }, sends: 2 },
      { evidence: { kind: 'refusedByServer', declaredNotRun: false }, sends: 1 },
      { evidence: { kind: 'lostAfterSending', cause: 'timeout' }, sends: 1 },
      { evidence: { kind: 'refusedByPeer', vouches: false }, sends: 1 },
    ] as const;
    for (const { evidence, sends } of cases) {
      const { tickets, mint } = setUp();
      let begun = 0;
      const run: RunCall = async ({ guard }, sink) => {
        guard?.beginSend();
        begun += 1;
        guard?.sendFailed(evidence);
        guard?.beginSend();
        begun += 1;
        await answerWith(sink, 'order 1');
      };
      await present(tickets, mint(), run);
      assert.equal(begun, sends, JSON.stringify(evidence));
    }
  });

  it('is not begun when there is no room for its record', async () => {
    const { tickets, mint } = setUp({ records: 1 });
    const server = countingServer();
    await present(tickets, mint(), server.run);
    const refusal = refusalOf(await present(tickets, mint(), server.run));
    assert.equal(refusal.definition, REFUSALS.overloaded);
    assert.equal(refusal.outcome, 'notRun');
    assert.ok((refusal.retryAtUnixMs ?? 0) > FAKE_EPOCH_UNIX_MS);
    assert.equal(server.runs(), 1);
  });
});

describe('the memory of tickets', () => {
  it('holds the newest answers within its bytes and forgets records in the end', async () => {
    const { clock, tickets, mint } = setUp({ heldBytes: 20 });
    const server = countingServer('ten bytes!');
    for (let count = 0; count < 5; count += 1) await present(tickets, mint(), server.run);
    assert.equal(tickets.counts().heldBytes, 20);
    assert.equal(tickets.counts().records, 5);
    clock.advanceBy(VALID_MS + VOUCH_AFTER_EXPIRY_MS + 1);
    const deadlineAtMs = clock.monotonicMs() + VALID_MS;
    assert.equal(await present(tickets, mint(), server.run, { deadlineAtMs }), 'ten bytes!');
    assert.equal(tickets.counts().records, 1);
    assert.equal(tickets.counts().heldBytes, 10);
  });

  it('stops growing once no tickets are minted', () => {
    const { tickets } = setUp();
    tickets.stopMinting();
    assert.equal(tickets.mint(BINDING, VALID_MS), undefined);
  });
});
