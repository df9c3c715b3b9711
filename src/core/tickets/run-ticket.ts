import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, ResponseSink } from '../serving/types';
import { createRecordingSink } from './recording-sink';
import type { RecordingSink } from './recording-sink';
import type { TicketGuard } from './ticket-guard';
import type { HeldAnswer, TicketRecord } from './types';

/** Serves a request; throws a `RefusalError` when it brings no answer. */
export type RunCall = (
  request: GatewayRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<void>;

/** One run of a ticket's call. */
export interface TicketRun {
  readonly record: TicketRecord;
  readonly guard: TicketGuard;
  readonly request: GatewayRequest;
  /** Of the first presentation. */
  readonly sink: ResponseSink;
  /** Aborts when the caller of the first presentation has gone. */
  readonly signal: AbortSignal;
  readonly run: RunCall;
  /** Largest answer that is held, bytes. */
  readonly answerBytes: number;
}

/** The refusal that every later presentation gets as well; its outcome rests on the guard alone. */
function finalRefusal(error: unknown, { guard, signal }: TicketRun): RefusalError {
  const evidence = guard.evidence();
  if (!guard.mayHaveRun && signal.aborted) {
    const detail = 'The caller went before the call was sent.';
    return new RefusalError(REFUSALS.callerGone, { detail, step: 'redeem-ticket', evidence });
  }
  if (!(error instanceof RefusalError)) {
    const detail = 'An internal fault; the log has more.';
    return new RefusalError(REFUSALS.internalFault, {
      detail,
      step: 'redeem-ticket',
      evidence,
      cause: error,
    });
  }
  return error.with({ evidence });
}

/**
 * The signal of the run. A caller that goes before the call was sent takes it back; afterwards the run goes
 * on without the caller, who will present the ticket again to learn what became of the order.
 */
function createRunSignal({ signal, guard }: TicketRun) {
  const stopped = new AbortController();
  const onGone = () => {
    if (!guard.mayHaveRun) stopped.abort();
  };
  if (signal.aborted) onGone();
  else signal.addEventListener('abort', onGone, { once: true });
  return {
    signal: stopped.signal,
    [Symbol.dispose]: () => signal.removeEventListener('abort', onGone),
  };
}

/** What the first presentation is given; all later ones are answered from the record. */
export type TicketEnd =
  | { readonly kind: 'held'; readonly answer: HeldAnswer }
  /** The answer was too large to hold and has been passed on as it came. */
  | { readonly kind: 'passedOn' }
  | { readonly kind: 'refused'; readonly refusal: RefusalError };

async function serveOnce(ticket: TicketRun, recording: RecordingSink): Promise<TicketEnd> {
  const running = createRunSignal(ticket);
  try {
    await ticket.run({ ...ticket.request, guard: ticket.guard }, recording, running.signal);
  } catch (error) {
    if (!recording.ended) return { kind: 'refused', refusal: finalRefusal(error, ticket) };
  } finally {
    running[Symbol.dispose]();
  }
  const answer = recording.whole();
  if (answer !== undefined) return { kind: 'held', answer };
  if (recording.ended) return { kind: 'passedOn' };
  const error = new Error('The run ended without an answer.');
  return { kind: 'refused', refusal: finalRefusal(error, ticket) };
}

/** Runs the call once and writes its end into the record. */
export async function runTicket(ticket: TicketRun): Promise<TicketEnd> {
  const end = await serveOnce(ticket, createRecordingSink(ticket.sink, ticket.answerBytes));
  const { record } = ticket;
  switch (end.kind) {
    case 'held':
      record.end({ kind: 'answered', answer: end.answer });
      return end;
    case 'passedOn':
      record.end({ kind: 'answered', answer: undefined });
      return end;
    case 'refused':
      record.end(end);
      return end;
    default:
      return end satisfies never;
  }
}
