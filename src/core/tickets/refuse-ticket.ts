import type { Evidence } from '../outcomes';
import { REFUSALS, RefusalError } from '../refusals';
import type { RefusalDefinition } from '../refusals';
import type { ResponseSink } from '../serving/types';
import { replayAnswer } from './recording-sink';
import { VOUCH_AFTER_EXPIRY_MS } from './ticket-records';
import type { PresentedTicket, TicketRecord } from './types';

/**
 * What a presentation is told when it does not run.
 *
 * Only the record, or its proven absence, gives `notRun`. A ticket that does not fit (mangled on its way, or
 * presented with a body that a client has written anew) says nothing about the call that it was first used for;
 * were that answered `notRun`, the client would place the order again.
 */
function refuse(definition: RefusalDefinition, detail: string, evidence: Evidence): RefusalError {
  return new RefusalError(definition, { detail, step: 'redeem-ticket', evidence });
}

/** The ticket is not of this process, or not for this caller and service. */
export function notKnown(detail: string): RefusalError {
  return refuse(REFUSALS.ticketNotKnown, detail, { kind: 'ticketNotVouchedFor' });
}

/** The ticket was first presented with another call. */
export function mismatch(): RefusalError {
  const detail = 'The ticket was first presented with another method, path or body.';
  return refuse(REFUSALS.ticketMismatch, detail, { kind: 'ticketNotVouchedFor' });
}

/** A call that needs a ticket came without one. */
export function ticketRequired(): RefusalError {
  return refuse(REFUSALS.ticketRequired, 'The call was not sent to any server.', {
    kind: 'neverSent',
  });
}

/** No ticket can be had here any more. */
export function notMinting(): RefusalError {
  return refuse(REFUSALS.notReady, 'This instance is stopping and mints no more tickets.', {
    kind: 'neverSent',
  });
}

/** The text has not the shape of a ticket; perhaps it was cut on its way. */
export function unreadable(): RefusalError {
  return refuse(REFUSALS.malformedRequest, 'The ticket cannot be read.', {
    kind: 'ticketNotVouchedFor',
  });
}

/** No more records fit in; the ticket was never presented before and may be presented again later. */
export function noRoom(retryAtUnixMs: number): RefusalError {
  return refuse(REFUSALS.overloaded, 'This instance has no room for another ticket.', {
    kind: 'neverSent',
  }).with({ retryAtUnixMs });
}

/** An expired ticket without a record: never presented, for as long as records are kept. */
export function expiredUnseen(presented: PresentedTicket, nowMs: number): RefusalError {
  const stillVouched = nowMs < presented.expiresAtMs + VOUCH_AFTER_EXPIRY_MS;
  return stillVouched
    ? refuse(REFUSALS.ticketExpired, 'The ticket expired before it was presented.', {
        kind: 'neverSent',
      })
    : refuse(REFUSALS.ticketExpired, 'The ticket expired long ago; its record is gone.', {
        kind: 'ticketNotVouchedFor',
      });
}

/** Resolves when the run has ended or this presentation's caller has gone. */
async function waitForEnd(record: TicketRecord, signal: AbortSignal): Promise<void> {
  if (record.state.kind !== 'running' || signal.aborted) return;
  let onAbort: () => void = () => {};
  const gone = new Promise<void>((resolve) => {
    onAbort = resolve;
    signal.addEventListener('abort', onAbort, { once: true });
  });
  await Promise.race([record.ended, gone]);
  signal.removeEventListener('abort', onAbort);
}

/** Waits for the run's end, and answers as it was answered. */
export async function answerFromRecord(
  record: TicketRecord,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<void> {
  await waitForEnd(record, signal);
  const { state } = record;
  switch (state.kind) {
    case 'running':
      throw refuse(REFUSALS.callerGone, 'The caller went while the call ran.', {
        kind: 'ticketNotVouchedFor',
      });
    case 'answered':
      if (state.answer === undefined) {
        const detail = 'The call ran once and was answered; the answer is no longer held.';
        throw refuse(REFUSALS.answerNotHeld, detail, { kind: 'ranBefore' });
      }
      await replayAnswer(state.answer, sink);
      return;
    case 'refused':
      throw state.refusal;
    default:
      state satisfies never;
  }
}
