import { DEALER, INSTANCE_REGIONS } from './fleet';
import type { Fleet } from './fleet';
import { currentlyAllowedRegions } from '../../src/core/residency';
import { readTicket } from '../../src/core/tickets';
import type { Told } from './caller';

/** Invariants of one schedule, checked after its end, when nothing can happen any more. */

function count<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  return counts;
}

function idOf(ticket: string | undefined): string | undefined {
  return ticket === undefined ? undefined : readTicket(ticket)?.ticketId;
}

/** An order runs at most once, under one ticket and under all the tickets of a caller that trusts its answers. */
function atMostOnce({ ledger }: Fleet): string[] {
  const byOrder = [...count(ledger, ({ body }) => body)]
    .filter(([, runs]) => runs > 1)
    .map(([order, runs]) => `${order} ran ${runs} times`);
  const byTicket = [...count(ledger, ({ idempotencyKey }) => idempotencyKey)]
    .filter(([, runs]) => runs > 1)
    .map(([ticket, runs]) => `ticket ${ticket} ran ${runs} times`);
  return [...byOrder, ...byTicket];
}

/** A call answered `notRun` was run by no server, then or later; one that `ran` was. */
function outcomesAreTrue({ ledger }: Fleet, told: readonly Told[]): string[] {
  const ran = new Set(ledger.map(({ idempotencyKey }) => idempotencyKey));
  return told.flatMap(({ order, ticket, reply }) => {
    const id = idOf(ticket);
    if (reply.kind !== 'refusal' || id === undefined) return [];
    if (reply.outcome === 'notRun' && ran.has(id)) return [`${order} told notRun, yet ${id} ran`];
    if (reply.outcome === 'ran' && !ran.has(id)) return [`${order} told ran, yet ${id} did not`];
    return [];
  });
}

/** An answer is complete, belongs to its order, and is the same each time. */
function answersAreRight({ ledger }: Fleet, told: readonly Told[]): string[] {
  return told.flatMap(({ order, reply }) => {
    if (reply.kind !== 'answer' || !reply.isWhole) return [];
    const number = ledger.findIndex(({ body }) => body === order) + 1;
    const right = `${order} has number ${number}`;
    return reply.text === right ? [] : [`${order} was answered "${reply.text}"`];
  });
}

/** No instance forwards a request that was forwarded to it. */
function noLoops({ forwards }: Fleet): string[] {
  const key = (name: string, requestId: string) => `${name} ${requestId}`;
  const received = new Set(forwards.map(({ to, message }) => key(to.name, message.requestId)));
  return forwards
    .filter(({ from, message }) => received.has(key(from.name, message.requestId)))
    .map(({ from, message }) => `${from.name} forwarded ${message.requestId} again`);
}

/** Nothing is sent to a region that the configuration in force at the sender forbids. */
function dataStaysHome({ forwards, firstBytes }: Fleet): string[] {
  const allowed = (note: { configuration: Fleet['forwards'][number]['configuration'] }) =>
    currentlyAllowedRegions(note.configuration, DEALER, 'orders');
  const away = forwards
    .filter((note) => !allowed(note).includes(INSTANCE_REGIONS[note.to.name] ?? ''))
    .map(({ message, to }) => `${message.requestId} was forwarded to ${to.name}`);
  const sent = firstBytes
    .filter((note) => !allowed(note).includes(note.toRegion))
    .map(({ idempotencyKey, toRegion }) => `${idempotencyKey} was sent in ${toRegion}`);
  return [...away, ...sent];
}

/** The owner of a ticket sends nothing after its expiry. */
function nothingSentAfterExpiry({ firstBytes }: Fleet, tickets: readonly string[]): string[] {
  const claims = new Map(tickets.map((text) => [idOf(text) ?? '', readTicket(text)]));
  return firstBytes.flatMap(({ idempotencyKey, atMs, from }) => {
    const ticket = claims.get(idempotencyKey);
    if (ticket === undefined || ticket.ownerId !== from.name || atMs < ticket.expiresAtMs) {
      return [];
    }
    return [`${idempotencyKey} was sent by its owner ${atMs - ticket.expiresAtMs} ms after expiry`];
  });
}

/** Returns all violations in a schedule that has ended. */
export function findViolations(fleet: Fleet, told: readonly Told[]): string[] {
  const tickets = [
    ...new Set(told.flatMap(({ ticket }) => (ticket === undefined ? [] : [ticket]))),
  ];
  return [
    ...fleet.faults,
    ...atMostOnce(fleet),
    ...outcomesAreTrue(fleet, told),
    ...answersAreRight(fleet, told),
    ...noLoops(fleet),
    ...dataStaysHome(fleet),
    ...nothingSentAfterExpiry(fleet, tickets),
  ];
}
