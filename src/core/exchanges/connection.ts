import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { errorText } from '../errors';
import type { LoopActivity } from '../loop-activity';
import type { AbortCause, EndlessBytes } from '../outcomes';
import { MAX_REST_BYTES, createFramingBound } from './framing-bound';
import { guardParser } from './guard-parser';
import type { ParsedSocket } from './guard-parser';
import { Client, buildConnector, clientSymbols } from './http-client';
import { writtenBody } from './written-body';
import type { AnswerListener, Exchange, ExchangeEnd, HeaderMap, OutgoingRequest } from './types';

/**
 * One connection that carries one request at a time.
 *
 * If an answer is delimited by the end of the connection, the HTTP client reports it as complete even when the
 * connection was reset, and it does not report whether a request was ever sent. The outcome that a caller
 * gets depends on both, so this module watches the socket itself.
 */
export interface Connection extends Disposable {
  readonly isIdle: boolean;
  /** Whether the connection can no longer be used for sending. */
  readonly isClosed: boolean;
  /** Monotonic time at which the last exchange ended, or at which the connection was created. */
  readonly idleSinceMs: number;
  send(request: OutgoingRequest, listener: AnswerListener): Exchange;
}

/** Options of a connection. */
export interface ConnectionOptions {
  /** `HOST:PORT`. */
  readonly address: string;
  /** Timeout for establishing the connection, ms. */
  readonly connectTimeoutMs: number;
  /** How long the connection may stay idle if the other side does not state it, ms. */
  readonly idleTimeoutMs: number;
  readonly nowMs: () => number;
  readonly activity: Pick<LoopActivity, 'begin'>;
  readonly onClosed: () => void;
}

/** Idle time after which TCP keep-alive probes the connection, so that a dead one is closed, ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;
/** Written to check whether the connection is still open; servers ignore an empty line between requests. */
const EMPTY_LINE = '\r\n';

/** Why this side ends an exchange. */
type Abortion = AbortCause | EndlessBytes;

/**
 * Has the HTTP client take the end of a connection whose answer is not read at the moment. It expects no end then, and throws
 * where nothing catches it, which ends the process with all its requests.
 */
function expectEnd(socket: ParsedSocket): void {
  const parser = socket[clientSymbols.kParser];
  if (parser?.paused === true) parser.paused = false;
}

interface SocketState {
  /** Whether the connection is established, so that requests written to it are sent. */
  isConnected: boolean;
  wasReset: boolean;
  /** Returns the bytes that have been read from the connection and handed to the HTTP client. */
  readBytes(): number;
  /**
   * Reports whether the connection was reset, once that is known from writing an empty line after the other side has
   * ended the connection.
   */
  probe(onResult: (wasReset: boolean) => void): void;
}

const NEVER_CONNECTED: SocketState = {
  isConnected: false,
  wasReset: false,
  readBytes: () => 0,
  probe: (onResult) => onResult(true),
};

const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;
const BEGUN = { hasAnswerBegun: true } as const;
/** Messages of the HTTP client's errors for an interim answer that it does not accept, and for bytes between answers. */
const BAD_ANSWER_ERRORS: ReadonlySet<string> = new Set(['bad response', 'bad upgrade']);
/** Reason of an exchange that its sender has aborted. */
const ABORTED = 'The exchange was aborted.';
/** Reason of an exchange whose rest was to be dropped and is too long or too slow for that. */
const REST_DROPPED = 'The rest of the answer was not read.';
/** Name of the HTTP client's error for header fields or trailers that are longer than it accepts. */
const HEADERS_OVERFLOW_ERROR = 'HeadersOverflowError';
/** Name of the HTTP client's error for a body that is not as long as the answer states. */
const LENGTH_MISMATCH_ERROR = 'ResponseContentLengthMismatchError';

/** Returns whether only the end of the connection marks the end of an answer with these headers, if it has a body. */
export function isCloseDelimited(headers: HeaderMap): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Returns whether an answer may have a body; one that may not ends with its head, whatever its headers state. */
function mayHaveBody(method: string, status: number): boolean {
  return method !== 'HEAD' && status !== NO_CONTENT_STATUS && status !== NOT_MODIFIED_STATUS;
}

function describeEndless({ shape, bytes }: EndlessBytes): string {
  return `The connection was closed after ${bytes} bytes that are no answer (${shape}).`;
}

function lossCause(error: Error): AbortCause {
  const isMalformed =
    error.name.startsWith('HTTPParser') ||
    error.name.startsWith('ResponseContent') ||
    BAD_ANSWER_ERRORS.has(error.message);
  return isMalformed ? 'malformed' : 'reset';
}

/**
 * Watches a socket for a reset.
 *
 * When data and a reset arrive together, the event loop reads the data and then reports a clean end: the error is never
 * read. A partial answer that is delimited by the end of the connection would then count as complete. A write after
 * that end fails only on a connection that was reset.
 */
function watchSocket(socket: Socket, onReadable: () => void, onEnd: () => void): SocketState {
  let probeResult: boolean | undefined;
  let onProbed: ((wasReset: boolean) => void) | undefined;
  const settle = (wasReset: boolean): void => {
    probeResult ??= wasReset;
    onProbed?.(probeResult);
    onProbed = undefined;
  };
  const state: SocketState = {
    isConnected: true,
    wasReset: false,
    readBytes: () => socket.bytesRead - socket.readableLength,
    probe(onResult) {
      if (probeResult === undefined) onProbed = onResult;
      else onResult(probeResult);
    },
  };
  socket.setNoDelay(true);
  // Called once for each read of the socket, before the HTTP client takes what was read.
  socket.on('readable', onReadable);
  socket.on('error', () => {
    expectEnd(socket);
    state.wasReset = true;
    settle(true);
  });
  // A close without a preceding end was not expected by this side.
  socket.on('close', () => {
    expectEnd(socket);
    settle(true);
  });
  socket.on('end', () => {
    onEnd();
    socket.write(EMPTY_LINE, (error) => {
      const code = error === null || error === undefined || !('code' in error) ? '' : error.code;
      settle(code === 'EPIPE' || code === 'ECONNRESET');
    });
  });
  return state;
}

/** Creates a connection that is established when the first request is sent. */
export function openConnection(options: ConnectionOptions): Connection {
  const { nowMs, onClosed } = options;
  let socketState = NEVER_CONNECTED;
  let isIdle = true;
  let isClosed = false;
  let hasStartedConnecting = false;
  let idleSinceMs = nowMs();
  /** Whether a request without an id was sent earlier. */
  let hasCarriedUnidentified = false;
  const framing = createFramingBound();
  /** Ends the exchange in progress, or closes the connection if there is none. */
  let onEndless: (endless: EndlessBytes) => void;
  const checkFraming = () => {
    options.activity.begin('answerBytes', options.address);
    const endless = framing.findEndless(socketState.readBytes());
    if (endless !== undefined) onEndless(endless);
  };
  /** Whether the other side has ended the connection, so that nothing more is to be read. */
  let hasEnded = false;
  let resumeReading = () => {};
  const endPause = () => {
    hasEnded = true;
    resumeReading();
  };
  const connect = buildConnector({
    timeout: options.connectTimeoutMs,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    // Keeps the sending direction open after the other side has ended, so that the connection can be probed.
    allowHalfOpen: true,
  });

  const client = new Client(`http://${options.address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.idleTimeoutMs,
    connect(target, callback) {
      if (hasStartedConnecting || isClosed) {
        callback(new Error('The connection was closed before the request was sent.'), null);
        return;
      }
      hasStartedConnecting = true;
      connect(target, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        socketState = watchSocket(socket, checkFraming, endPause);
        // The client has set up its parser then, and has not read anything.
        client.once('connect', () => guardParser(socket, client));
        callback(null, socket);
      });
    },
  });

  const close = () => {
    if (isClosed) return;
    isClosed = true;
    onClosed();
    void client.destroy();
  };
  onEndless = close;
  client.on('disconnect', close);
  client.on('connectionError', close);

  const send = (
    { method, path, headers, isUnidentified, body: sentBody }: OutgoingRequest,
    listener: AnswerListener,
  ): Exchange => {
    let controller: Dispatcher.DispatchController | undefined;
    let abortion: Abortion | undefined;
    let ended = false;
    let endsOnClose = false;
    let endsWithHead = false;
    let statedBodyBytes = 0;
    const mayBeUnidentified = hasCarriedUnidentified;
    hasCarriedUnidentified ||= isUnidentified === true;
    let restDeadline: Disposable | undefined;
    let isPaused = false;
    isIdle = false;

    const settle = (end: ExchangeEnd) => {
      if (ended) return;
      ended = true;
      restDeadline?.[Symbol.dispose]();
      framing.recordEnd(socketState.readBytes());
      onEndless = close;
      isIdle = true;
      idleSinceMs = nowMs();
      // The other side has ended the connection with the answer; a request sent on it now would be lost.
      if (end.kind !== 'whole' || endsOnClose) close();
      listener.onEnd(end);
    };

    const fail = (error: Error) => {
      const reason = errorText(error);
      // The client starts a request right before it writes it, once it has seen that the connection is still open.
      if (!socketState.isConnected || controller === undefined) {
        settle({ kind: 'neverSent', reason });
        return;
      }
      if (abortion === undefined && error.name === HEADERS_OVERFLOW_ERROR) {
        abortion = framing.sinceProgress(socketState.readBytes());
      }
      if (typeof abortion === 'object') {
        settle({ kind: 'lost', cause: 'endless', endless: abortion, reason });
        return;
      }
      const begun = framing.hasAnswerBegun(socketState.readBytes()) ? BEGUN : {};
      settle({ kind: 'lost', cause: abortion ?? lossCause(error), reason, ...begun });
    };

    const abort = (cause: Abortion, reason: string): void => {
      if (ended) return;
      abortion = cause;
      if (controller !== undefined) controller.abort(new Error(reason));
      // Before the connection is established, the client has not started the request; closing cancels it.
      else close();
    };
    const abortEndless = (endless: EndlessBytes) => abort(endless, describeEndless(endless));

    /**
     * Goes on reading once the HTTP client reads no other connection: room for one answer may be reported in the midst of bytes
     * of another one, and the client asserts that it reads only one connection at a time.
     */
    const resumeSoon = (): void => {
      isPaused = false;
      queueMicrotask(() => {
        if (!isPaused && !ended) controller?.resume();
      });
    };

    const settleUnlessReset = (wasReset: boolean) => {
      if (wasReset) fail(new Error('The connection was reset before the end of the answer.'));
      else settle({ kind: 'whole' });
    };

    client.dispatch(
      {
        path,
        method,
        ...writtenBody(headers, sentBody),
      },
      {
        onRequestStart(started) {
          controller = started;
          if (abortion !== undefined) {
            started.abort(new Error(ABORTED));
            return;
          }
          framing.recordRequest(socketState.readBytes());
          onEndless = abortEndless;
          resumeReading = () => started.resume();
        },
        onResponseStarted: () => framing.recordHeadBegin(),
        onResponseStart(_controller, status, answerHeaders) {
          if (status < 200) {
            framing.recordInterimAnswer();
            return;
          }
          framing.recordHead(socketState.readBytes());
          endsWithHead = !mayHaveBody(method, status);
          endsOnClose = !endsWithHead && isCloseDelimited(answerHeaders);
          statedBodyBytes = Number(answerHeaders['content-length'] ?? 0);
          listener.onHead({
            status,
            headers: answerHeaders,
            ...(mayBeUnidentified && { mayBeUnidentified }),
          });
        },
        onResponseData(_controller, chunk) {
          framing.recordBody(socketState.readBytes());
          if (restDeadline === undefined) listener.onData(chunk);
        },
        onResponseEnd() {
          if (!endsOnClose) {
            settleUnlessReset(socketState.wasReset);
            return;
          }
          isIdle = false;
          socketState.probe(settleUnlessReset);
        },
        onResponseError(_controller, error) {
          // The client expects a body of the length that status 304 states, which is that of the answer it stands for.
          const lacksBody = error.name === LENGTH_MISMATCH_ERROR;
          if (endsWithHead && lacksBody) settle({ kind: 'whole' });
          else fail(error);
        },
      },
    );

    return {
      abort: (cause) => abort(cause, ABORTED),
      abortEndless,
      discardRest(clock, closeByMs) {
        if (ended || restDeadline !== undefined) return;
        const drop = () => abort('aborted', REST_DROPPED);
        if (endsOnClose || (!endsWithHead && statedBodyBytes > MAX_REST_BYTES)) {
          drop();
          return;
        }
        restDeadline = clock.schedule(closeByMs, drop);
        framing.recordDiscard(socketState.readBytes());
        onEndless = drop;
        resumeSoon();
      },
      pause() {
        if (hasEnded) return;
        isPaused = true;
        controller?.pause();
      },
      resume: resumeSoon,
    };
  };

  return {
    get isIdle() {
      return isIdle;
    },
    get isClosed() {
      return isClosed;
    },
    get idleSinceMs() {
      return idleSinceMs;
    },
    send,
    [Symbol.dispose]: close,
  };
}
