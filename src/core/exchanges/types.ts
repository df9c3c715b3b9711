import type { Clock } from '../clock';
import type { AbortCause, EndlessBytes } from '../outcomes';

/** Lower-case header names with their values, as the HTTP client provides them. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** A large body in parts, each of which is let go once it is written. */
export interface OutgoingParts {
  /** Length of all parts, bytes. */
  readonly length: number;
  /** Returns the parts in their order. */
  parts(): readonly Uint8Array[];
}

/** A request to send. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | OutgoingParts;
  /** Set if the request states no id, so that its answer has none either. */
  readonly isUnidentified?: true;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Set if the connection has carried a request without an id before, whose late answer this may be if it has no id. */
  readonly mayBeUnidentified?: true;
}

/** How an exchange ended. */
export type ExchangeEnd =
  /** The complete answer was received. */
  | { readonly kind: 'whole' }
  /** No byte of the request has left this process. */
  | { readonly kind: 'neverSent'; readonly reason: string }
  /** No answer was received, or only a part of it; the request may have run. */
  | {
      readonly kind: 'lost';
      readonly cause: AbortCause;
      readonly reason: string;
      /** Set if bytes had arrived since the request, be they of an answer or not. */
      readonly hasAnswerBegun?: true;
    }
  /** Like `lost` otherwise, because of bytes that are no answer and did not end. */
  | {
      readonly kind: 'lost';
      readonly cause: 'endless';
      readonly endless: EndlessBytes;
      readonly reason: string;
    };

/** Receives the parts of an answer as they arrive. */
export interface AnswerListener {
  onHead(head: AnswerHead): void;
  /** The bytes are only valid during the callback. */
  onData(chunk: Buffer): void;
  /** Called exactly once, as the last callback. */
  onEnd(end: ExchangeEnd): void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Aborts the exchange and closes its connection; `onEnd` is still called. */
  abort(cause: AbortCause): void;
  /** Like `abort`, because the bytes of the answer are none that can belong to a whole one. */
  abortEndless(endless: EndlessBytes): void;
  /**
   * Drops what is left of an answer whose head is all that is needed. `onData` isn't called any more; `onEnd` is, once the
   * connection is free or closed: `whole` if the rest was short and arrived by `closeByMs`, monotonic ms, else `lost` with
   * the cause `aborted`. That may be during this call.
   */
  discardRest(clock: Pick<Clock, 'schedule'>, closeByMs: number): void;
  pause(): void;
  resume(): void;
}
