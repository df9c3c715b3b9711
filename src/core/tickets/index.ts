/** One-use tickets, by which a call that may not be repeated runs at most once. */
export { createTickets } from './create-tickets';
export type { Tickets, TicketsOptions } from './create-tickets';
export { TICKET_EVENTS } from './events';
export {
  METHOD_OVERRIDE_HEADERS,
  hasNonRepeatableCalls,
  isNonRepeatable,
  isUnclearPath,
} from './non-repeatable';
export { createNonRepeatableServer, refusedBeforeRecord } from './serve-non-repeatable';
export type {
  ForwardToOwner,
  NonRepeatableOptions,
  NonRepeatableServer,
} from './serve-non-repeatable';
export { TICKET_HEADER, readTicket } from './ticket-text';
export type { MintedTicket, TicketCounts } from './types';
