import type { Outcome } from '../outcomes';
import type { RefusalEntry, RefusalError } from './refusal-error';

/** Start of every problem's `type`. */
export const PROBLEM_TYPE_PREFIX = 'urn:coltsfootworks:refusal:';

/** The media type of RFC 9457. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

/** A refusal as callers read it (RFC 9457 with extensions). */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly hint: string;
  readonly outcome: Outcome;
  readonly step: string;
  readonly peer?: string;
  readonly requestId: string;
  readonly retryAtUnixMs?: number;
  /** A new ticket, where the call may be sent again at once or later. */
  readonly ticket?: string;
  readonly ticketExpiresAtUnixMs?: number;
  /** Instances that may take the request. */
  readonly entries?: readonly RefusalEntry[];
}

/** The answer to send for `refusal`. */
export function toProblem(refusal: RefusalError, requestId: string): Problem {
  return {
    type: `${PROBLEM_TYPE_PREFIX}${refusal.definition.slug}`,
    title: refusal.definition.title,
    status: refusal.definition.status,
    detail: refusal.message,
    hint: refusal.definition.hint,
    outcome: refusal.outcome,
    step: refusal.step,
    ...(refusal.peer === undefined ? {} : { peer: refusal.peer }),
    requestId,
    ...(refusal.retryAtUnixMs === undefined ? {} : { retryAtUnixMs: refusal.retryAtUnixMs }),
    ...(refusal.ticket === undefined
      ? {}
      : {
          ticket: refusal.ticket.ticket,
          ticketExpiresAtUnixMs: refusal.ticket.expiresAtUnixMs,
        }),
    ...(refusal.entries === undefined ? {} : { entries: refusal.entries }),
  };
}

/** Seconds for the standard `Retry-After`, rounded up so that nobody comes too early. */
export function retryAfterSeconds(retryAtUnixMs: number, nowUnixMs: number): number {
  return Math.max(0, Math.ceil((retryAtUnixMs - nowUnixMs) / 1000));
}
