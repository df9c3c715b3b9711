/** Membership: the known instances and their status. */
export { createMembership } from './create-membership';
export type { Membership, MembershipOptions } from './create-membership';
export { MEMBERSHIP_EVENTS } from './events';
export { readExchange, writeExchange } from './exchange-text';
export type { Cursors, ExchangeMessage, MembershipTransport } from './messages';
export type {
  LoadState,
  LoadStatement,
  MemberChange,
  MemberRecord,
  MemberState,
  MemberStatus,
  MembershipChanges,
  MembershipView,
  ServiceRequests,
} from './types';
