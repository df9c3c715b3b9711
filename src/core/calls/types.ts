/** A small request to another process, answered by a short text. */
export interface OutgoingCall {
  readonly method: 'GET' | 'POST';
  /** Path including the query. */
  readonly path: string;
  /** Request body; empty for none. */
  readonly text?: string;
  /** Monotonic time at which the call is aborted. */
  readonly answerByMs: number;
  /** Lower-case name of an answer header to return. */
  readonly answerHeader?: string;
}

/** The answer to a call. */
export interface CallAnswer {
  readonly status: number;
  /** Empty in the answer to an outgoing call that was not successful. */
  readonly text: string;
  /** Defaults to JSON. */
  readonly contentType?: string;
  /** Value of the header that the call asked for, if the answer has it. */
  readonly header?: string;
}

/** Client that makes calls over reused connections. */
export interface CallClient {
  /** Rejects if no complete answer of up to 64 MiB arrives in time, or when `signal` aborts. */
  call(address: string, call: OutgoingCall, signal?: AbortSignal): Promise<CallAnswer>;
}

/** A call as the handler receives it. */
export interface IncomingCall {
  readonly query: URLSearchParams;
  readonly text: string;
  /** Registers a listener that is called when nobody waits for the answer any more. */
  readonly onDisconnected: (listener: () => void) => void;
}

/** Answers calls to one path. */
export type CallHandler = (call: IncomingCall) => CallAnswer | Promise<CallAnswer>;

/** The handlers of a listener, by path. */
export type CallHandlers = ReadonlyMap<string, CallHandler>;
