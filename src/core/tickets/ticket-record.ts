import type { PresentedTicket, TicketRecord, TicketState } from './types';

/** The record of a ticket that is presented for the first time. It is made before anything is sent. */
export function createTicketRecord(
  { ticketId, expiresAtMs }: PresentedTicket,
  callDigest: string,
): TicketRecord {
  let state: TicketState = { kind: 'running' };
  let resolveEnded: () => void = () => {};
  const ended = new Promise<void>((resolve) => {
    resolveEnded = resolve;
  });
  return {
    ticketId,
    callDigest,
    expiresAtMs,
    get state() {
      return state;
    },
    ended,
    end(next) {
      if (state.kind !== 'running') return;
      state = next;
      resolveEnded();
    },
    forgetAnswer() {
      if (state.kind === 'answered') state = { kind: 'answered', answer: undefined };
    },
  };
}
