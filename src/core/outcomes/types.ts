/**
 * What a caller may rely on after a refusal: the request did not run and never will; it ran and was answered,
 * but the answer is no longer held; or nobody can say.
 */
export type Outcome = 'notRun' | 'ran' | 'unknown';

/** Why this process may end an attempt itself. */
export type AbortCause =
  'reset' | 'timeout' | 'silence' | 'aborted' | 'malformed' | 'peerFellSilent';

/** How an attempt was lost after bytes may have left; `endless` if what arrived was no answer and did not end. */
export type LossCause = AbortCause | 'endless';

/** What arrived without end in place of an answer. */
export type EndlessShape =
  | 'emptyLines'
  | 'interimAnswers'
  /** The status line and header fields of an answer. */
  | 'head'
  /** What a chunked body has around the bytes of its chunks, or trailers. */
  | 'chunkFraming'
  /** One event of a stream. */
  | 'partialEvent'
  /** Events of a stream that have neither data nor an id. */
  | 'comments'
  /** The body of a failure. */
  | 'failureBody'
  /** The body of an answer that is kept as a whole. */
  | 'answerBody';

/** Bytes that are no answer and did not end. */
export interface EndlessBytes {
  readonly shape: EndlessShape;
  /** Bytes read without progress. */
  readonly bytes: number;
}

/** What this process knows of an attempt that brought no answer. */
export type Evidence =
  /** Nothing left this process: refused before sending, or no connection was ever made. */
  | { readonly kind: 'neverSent' }
  /** Another instance refused; `vouches` when it says that nothing ran and nothing will. */
  | { readonly kind: 'refusedByPeer'; readonly vouches: boolean }
  /** A backend server refused; `declaredNotRun` when the configuration says its status means so. */
  | { readonly kind: 'refusedByServer'; readonly declaredNotRun: boolean }
  /**
   * A one-use ticket was presented, and this instance cannot speak for it: its owner was not reached, or
   * the ticket does not match its record. An earlier presentation may have run.
   */
  | { readonly kind: 'ticketNotVouchedFor' }
  /** The owner of a one-use ticket looked into its records: the call never ran and, with this ticket, never will. */
  | { readonly kind: 'vouchedByTicketOwner' }
  /** An earlier presentation of the same ticket was answered by the backend server. */
  | { readonly kind: 'ranBefore' }
  /** Bytes may have left, and no answer came. */
  | { readonly kind: 'lostAfterSending'; readonly cause: LossCause };
