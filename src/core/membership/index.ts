/** Which other instances there are and how they stand. */
export { createMembership } from './create-membership';
export type { Membership, MembershipOptions, MembershipTransport } from './create-membership';
export { MEMBERSHIP_EVENTS } from './events';
export { laterState } from './merge';
export type { MemberState, MemberStatus, MembershipView } from './types';
