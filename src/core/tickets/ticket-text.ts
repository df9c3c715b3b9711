import { createHmac } from 'node:crypto';
import { secretsMatch } from '../access';
import type { PresentedTicket, TicketClaims } from './types';

/**
 * Tickets as text: `ct1.OWNER.INCARNATION.ID.EXPIRY.SEAL`.
 *
 * The seal is an HMAC under a key that exists only in the memory of the process that minted the ticket. A
 * process that starts again under the same name has another key, so nothing that outlives a process can run
 * a call a second time.
 */

/** Header in which a ticket is handed out and presented. */
export const TICKET_HEADER = 'idempotency-ticket';

const PREFIX = 'ct1';
const SHAPE =
  /^ct1\.([a-z0-9][a-z0-9-]{0,62})\.(\d{1,16})\.([A-Za-z0-9_-]{8,64})\.(\d{1,16})\.([A-Za-z0-9_-]{43})$/;

/** What a ticket is sealed for. */
export interface TicketBinding {
  readonly callerId: string;
  readonly service: string;
}

function clearText({ ownerId, incarnation, ticketId, expiresAtMs }: TicketClaims): string {
  return [PREFIX, ownerId, incarnation, ticketId, expiresAtMs].join('.');
}

function sealOf(key: Uint8Array, claims: TicketClaims, { callerId, service }: TicketBinding) {
  // None of the parts can hold a line break, so no two tickets share a sealed text.
  return createHmac('sha256', key)
    .update(`${clearText(claims)}\n${callerId}\n${service}`)
    .digest('base64url');
}

/** The text of a new ticket. */
export function writeTicket(key: Uint8Array, claims: TicketClaims, binding: TicketBinding): string {
  return `${clearText(claims)}.${sealOf(key, claims, binding)}`;
}

/** The claims of a text that has the shape of a ticket; they are not believed yet. */
export function readTicket(text: string): PresentedTicket | undefined {
  const [, ownerId, incarnation, ticketId, expiresAtMs, seal] = SHAPE.exec(text) ?? [];
  if (ownerId === undefined || ticketId === undefined || seal === undefined) return undefined;
  return {
    ownerId,
    incarnation: Number(incarnation),
    ticketId,
    expiresAtMs: Number(expiresAtMs),
    seal,
  };
}

/** Whether the process with this key minted the ticket for this caller and service. */
export function isGenuine(
  key: Uint8Array,
  presented: PresentedTicket,
  binding: TicketBinding,
): boolean {
  return secretsMatch(presented.seal, sealOf(key, presented, binding));
}
