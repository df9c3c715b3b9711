/** One small question to another process, which is answered by one small text. */
export interface OutgoingCall {
  readonly method: 'GET' | 'POST';
  /** Path with its query. */
  readonly path: string;
  /** What is sent along; empty for nothing. */
  readonly text?: string;
  /** Monotonic time after which the call is given up. */
  readonly answerByMs: number;
  /** Name of one header of the answer that is wanted, in lower case. */
  readonly wantedHeader?: string;
}

/** What came back. */
export interface CallAnswer {
  readonly status: number;
  readonly text: string;
  /** JSON where nothing is said. */
  readonly contentType?: string;
  /** Value of the header that was wanted, where the answer has it. */
  readonly header?: string;
}

/** Makes calls over kept connections. */
export interface Caller {
  /** Rejects where no whole answer comes in time, or when `signal` aborts. */
  call(address: string, call: OutgoingCall, signal?: AbortSignal): Promise<CallAnswer>;
}

/** A call as the one that is asked sees it. */
export interface IncomingCall {
  readonly query: URLSearchParams;
  readonly text: string;
  /** Calls back when nobody waits for the answer any more. */
  readonly onGone: (listener: () => void) => void;
}

/** Answers calls to one path. */
export type CallHandler = (call: IncomingCall) => CallAnswer | Promise<CallAnswer>;

/** What a listener answers, by path. */
export type CallHandlers = ReadonlyMap<string, CallHandler>;
