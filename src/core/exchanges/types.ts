import type { LossCause } from '../outcomes';

/** Header names in lower case with their values, as an HTTP client gives them. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** What is sent. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderMap;
}

/** How an exchange ended. */
export type ExchangeEnd =
  /** The whole answer has come. */
  | { readonly kind: 'whole' }
  /** No byte of the request has left this process. */
  | { readonly kind: 'neverSent'; readonly reason: string }
  /** The answer did not come, or not whole; the request may have run. */
  | { readonly kind: 'lost'; readonly cause: LossCause; readonly reason: string };

/** Told of an answer as it comes. */
export interface AnswerListener {
  onHead(head: AnswerHead): void;
  /** The bytes are only valid during the call. */
  onData(chunk: Buffer): void;
  /** Called once, last. */
  onEnd(end: ExchangeEnd): void;
}

/** One exchange under way. */
export interface Exchange {
  /** Gives the exchange up and closes its connection; `onEnd` is still called. */
  abort(cause: LossCause): void;
  pause(): void;
  resume(): void;
}
