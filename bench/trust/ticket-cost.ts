import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { request } from 'undici';
import { createTickets } from '../../src/core/tickets/create-tickets';
import { readTicket } from '../../src/core/tickets/ticket-text';
import { createMemoryLogger } from '../../src/testing/memory-logger';
import { answerWith, createMemorySink, sampleRequest } from '../../src/testing/sample-request';
import { FLEET_KEYS, startSmallFleet } from '../../src/testing/small-fleet';
import { createSystemClock } from '../../src/runtime/system-clock';

/** What a ticket costs: processor time, memory, and round trips over loopback. */
export interface TicketCost {
  readonly mintMicros: number;
  readonly redeemMicros: number;
  readonly recordBytes: number;
  readonly heldAnswerOf1KiBBytes: number;
  /** Requests that a caller makes for one order. */
  readonly requestsWithoutEntryTicket: number;
  readonly plainPostMillis: number;
  readonly firstRefusalMillis: number;
  readonly ticketedPostMillis: number;
}

const ROUNDS = 5_000;
const HELD = 20_000;
const HTTP_ROUNDS = 300;
const VALID_MS = 600_000;
const BINDING = { callerId: 'dealer', service: 'orders' };

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function usedBytes(): number {
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function newTickets() {
  return createTickets({
    clock: createSystemClock(),
    logger: { ...createMemoryLogger(), event: () => {} },
    instanceId: 'windhoek-a',
    incarnation: 1,
    key: randomBytes(32),
    newTicketId: () => randomBytes(16).toString('base64url'),
    limits: { records: 100_000, heldBytes: 1_000_000_000 },
    answerBytes: 65_536,
  });
}

async function redeemMany(count: number, answer: string) {
  const tickets = newTickets();
  const texts = Array.from({ length: count }, () => tickets.mint(BINDING, VALID_MS)?.ticket ?? '');
  const { signal } = new AbortController();
  const order = { ...sampleRequest(), deadlineAtMs: Number.MAX_SAFE_INTEGER };
  const startMs = performance.now();
  for (const text of texts) {
    const presented = readTicket(text);
    if (presented === undefined) throw new Error('not a ticket');
    await tickets.redeem(presented, order, createMemorySink(), signal, async ({ guard }, sink) => {
      guard?.beginSend();
      await answerWith(sink, answer);
    });
  }
  return { tickets, micros: ((performance.now() - startMs) / count) * 1000 };
}

/** Bytes of each record, with all of them alive; what earlier rounds left behind has been collected. */
async function bytesEach(answer: string): Promise<number> {
  const samples: number[] = [];
  const alive: unknown[] = [];
  for (let round = 0; round < 3; round += 1) {
    const before = usedBytes();
    alive.push((await redeemMany(HELD, answer)).tickets);
    samples.push((usedBytes() - before) / HELD);
  }
  if (alive.length !== samples.length) throw new Error('records were collected');
  return Math.round(samples.at(-1) ?? 0);
}

async function meanMillis(rounds: number, act: (round: number) => Promise<void>): Promise<number> {
  for (let round = 0; round < 50; round += 1) await act(-1 - round);
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) await act(round);
  return Number(((performance.now() - startMs) / rounds).toFixed(3));
}

async function overHttp() {
  const fleet = await startSmallFleet();
  const address = fleet.instanceIn('windhoek').node.callerAddress;
  const post = async (path: string, body: string, ticket?: string) => {
    const answer = await request(`http://${address}/services/orders${path}`, {
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${FLEET_KEYS.everywhere}`,
        ...(ticket === undefined ? {} : { 'idempotency-ticket': ticket }),
      },
    });
    await answer.body.dump();
    return { status: answer.statusCode, ticket: String(answer.headers['idempotency-ticket']) };
  };
  const plainPostMillis = await meanMillis(HTTP_ROUNDS, async (round) => {
    await post('/stock', `stock ${round}`);
  });
  const firstRefusalMillis = await meanMillis(HTTP_ROUNDS, async (round) => {
    await post('/place', `refused ${round}`);
  });
  const tickets: string[] = [];
  for (let count = 0; count < HTTP_ROUNDS + 50; count += 1) {
    tickets.push((await post('/place', 'mint')).ticket);
  }
  const ticketedPostMillis = await meanMillis(HTTP_ROUNDS, async (round) => {
    const { status } = await post('/place', `order ${round}`, tickets.pop());
    if (status !== 200) throw new Error(`order ${round} got ${status}`);
  });
  let requests = 0;
  let ticket: string | undefined;
  for (let status = 0; status !== 200; requests += 1) {
    const told = await post('/place', 'counted', ticket);
    ({ status, ticket } = told);
  }
  await fleet[Symbol.asyncDispose]();
  return {
    plainPostMillis,
    firstRefusalMillis,
    ticketedPostMillis,
    requestsWithoutEntryTicket: requests,
  };
}

/** Measures all of it. */
export async function measureTicketCost(): Promise<TicketCost> {
  const tickets = newTickets();
  for (let round = 0; round < ROUNDS; round += 1) tickets.mint(BINDING, VALID_MS);
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) tickets.mint(BINDING, VALID_MS);
  const mintMicros = Number((((performance.now() - startMs) / ROUNDS) * 1000).toFixed(1));
  await redeemMany(ROUNDS, 'warm');
  const { micros } = await redeemMany(ROUNDS, 'order 1');
  const recordBytes = await bytesEach('');
  const heldAnswerOf1KiBBytes = await bytesEach('x'.repeat(1_024));
  return {
    mintMicros,
    redeemMicros: Number(micros.toFixed(1)),
    recordBytes,
    heldAnswerOf1KiBBytes,
    ...(await overHttp()),
  };
}
