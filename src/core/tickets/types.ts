import type { Outcome } from '../outcomes';
import type { RefusalError } from '../refusals';
import type { ResponseHead } from '../serving/types';

/** What a ticket says in the clear. It also binds a caller and a service, which only its seal shows. */
export interface TicketClaims {
  /** Instance that minted it and alone may redeem it. */
  readonly ownerId: string;
  /** Start time of the process that minted it; a later process of the same name does not know the ticket. */
  readonly incarnation: number;
  /** Unique; the backend server gets it as `Idempotency-Key`. */
  readonly ticketId: string;
  /** On the owner's monotonic clock. */
  readonly expiresAtMs: number;
}

/** A ticket as presented: its claims, not yet believed, and its seal. */
export interface PresentedTicket extends TicketClaims {
  readonly seal: string;
}

/** A ticket as handed to a caller. */
export interface MintedTicket {
  /** The text for the header `idempotency-ticket`. */
  readonly ticket: string;
  /** About when it expires; the owner's monotonic clock decides. */
  readonly expiresAtUnixMs: number;
}

/** A whole answer, kept for the caller whose connection was lost before it arrived. */
export interface HeldAnswer {
  readonly head: ResponseHead;
  readonly chunks: readonly Uint8Array[];
  readonly bodyBytes: number;
}

/** What became of the one run that a ticket allows. */
export type TicketState =
  | { readonly kind: 'running' }
  | { readonly kind: 'answered'; readonly answer: HeldAnswer | undefined }
  | { readonly kind: 'refused'; readonly refusal: RefusalError };

/** One presented ticket. */
export interface TicketRecord {
  readonly ticketId: string;
  /** Digest of the call that it was first presented with. */
  readonly callDigest: string;
  readonly expiresAtMs: number;
  readonly state: TicketState;
  /** Resolves when the run has ended, whatever its end. */
  readonly ended: Promise<void>;
  /** Writes the end of the run, once. */
  end(state: Exclude<TicketState, { kind: 'running' }>): void;
  /** Lets go of the answer; that there was one stays known. */
  forgetAnswer(): void;
}

/** Counts for operators and the bench. */
export interface TicketCounts {
  readonly records: number;
  readonly running: number;
  readonly heldBytes: number;
  /** Ends of runs so far, by what their callers were told. */
  readonly ends: Readonly<Record<Outcome | 'answered', number>>;
}
