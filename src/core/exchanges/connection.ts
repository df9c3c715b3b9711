import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { errorText } from '../errors';
import type { LossCause } from '../outcomes';
import { Client, buildConnector } from './http-client';
import type { AnswerListener, Exchange, HeaderMap, OutgoingRequest } from './types';

/**
 * One connection that carries one request at a time.
 *
 * The HTTP client takes an answer whose end is the end of the connection for whole also when the connection
 * was reset, and says nothing of whether a request ever left. Both decide what a caller is told, so this
 * watches the socket itself.
 */
export interface Connection extends Disposable {
  readonly isIdle: boolean;
  /** Whether nothing can be sent on it any more. */
  readonly isClosed: boolean;
  /** Monotonic time at which the last exchange ended, or at which it was made. */
  readonly idleSinceMs: number;
  send(request: OutgoingRequest, listener: AnswerListener): Exchange;
}

/** What a connection is made with. */
export interface ConnectionOptions {
  /** `HOST:PORT`. */
  readonly address: string;
  /** Longest wait for the connection to be made, ms. */
  readonly connectTimeoutMs: number;
  /** How long it may stay idle where the other side does not say, ms. */
  readonly idleTimeoutMs: number;
  readonly nowMs: () => number;
  readonly onClosed: () => void;
}

/** Idle time after which TCP probes a connection, so that one that has gone silent is closed, ms. */
const PROBE_AFTER_MS = 1_000;
/** What is written to see whether a connection still stands; servers pass over an empty line between requests. */
const EMPTY_LINE = '\r\n';

interface SocketState {
  /** Whether the connection stands, so that what is handed to it leaves. */
  stands: boolean;
  wasReset: boolean;
  /** Writes an empty line, and tells whether the connection turned out to be reset. */
  probe(onResult: (wasReset: boolean) => void): void;
}

const NEVER_CONNECTED: SocketState = {
  stands: false,
  wasReset: false,
  probe: (onResult) => onResult(true),
};

/** Whether nothing but the end of the connection ends the answer. */
function endsWithConnection(headers: HeaderMap): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

function lossCause(error: Error, aborted: LossCause | undefined): LossCause {
  if (aborted !== undefined) return aborted;
  const isMalformed =
    error.name.startsWith('HTTPParser') || error.name.startsWith('ResponseContent');
  return isMalformed ? 'malformed' : 'reset';
}

/**
 * Watches a socket for a reset.
 *
 * When bytes and the reset come together, the event loop reads the bytes and then reports a clean end: the
 * error is never read. A half answer whose end is the end of the connection would then pass for a whole one.
 * A write after that end fails on a connection that was reset, and on no other.
 */
function watchSocket(socket: Socket): SocketState {
  let probed: boolean | undefined;
  let tell: ((wasReset: boolean) => void) | undefined;
  const settle = (wasReset: boolean): void => {
    probed ??= wasReset;
    tell?.(probed);
    tell = undefined;
  };
  const state: SocketState = {
    stands: true,
    wasReset: false,
    probe(onResult) {
      if (probed === undefined) tell = onResult;
      else onResult(probed);
    },
  };
  socket.setNoDelay(true);
  socket.on('error', () => {
    state.wasReset = true;
    settle(true);
  });
  // Without an end before it, a close is one that this side did not see coming.
  socket.on('close', () => settle(true));
  socket.on('end', () => {
    socket.write(EMPTY_LINE, (error) => {
      const code = error === null || error === undefined || !('code' in error) ? '' : error.code;
      settle(code === 'EPIPE' || code === 'ECONNRESET');
    });
  });
  return state;
}

/** A connection that is made when the first request is sent. */
export function openConnection(options: ConnectionOptions): Connection {
  const { nowMs, onClosed } = options;
  let socketState = NEVER_CONNECTED;
  let isIdle = true;
  let isClosed = false;
  let wasConnected = false;
  let idleSinceMs = nowMs();
  const connect = buildConnector({
    timeout: options.connectTimeoutMs,
    keepAlive: true,
    keepAliveInitialDelay: PROBE_AFTER_MS,
    // Leaves the own direction open after the other side has ended, so that it can be probed.
    allowHalfOpen: true,
  });

  const client = new Client(`http://${options.address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.idleTimeoutMs,
    connect(target, callback) {
      if (wasConnected || isClosed) {
        callback(new Error('The connection was closed before the request was sent.'), null);
        return;
      }
      wasConnected = true;
      connect(target, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        socketState = watchSocket(socket);
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
  client.on('disconnect', close);
  client.on('connectionError', close);

  const send = (request: OutgoingRequest, listener: AnswerListener): Exchange => {
    let controller: Dispatcher.DispatchController | undefined;
    let abortedBy: LossCause | undefined;
    let ended = false;
    let isUnframed = false;
    isIdle = false;

    const finish = (end: Parameters<AnswerListener['onEnd']>[0]) => {
      if (ended) return;
      ended = true;
      isIdle = true;
      idleSinceMs = nowMs();
      if (end.kind !== 'whole') close();
      listener.onEnd(end);
    };

    const fail = (error: Error) => {
      const reason = errorText(error);
      if (!socketState.stands) {
        finish({ kind: 'neverSent', reason });
        return;
      }
      finish({ kind: 'lost', cause: lossCause(error, abortedBy), reason });
    };

    const endAs = (wasReset: boolean) => {
      if (wasReset) fail(new Error('The connection was reset before the end of the answer.'));
      else finish({ kind: 'whole' });
    };

    client.dispatch(
      {
        path: request.path,
        method: request.method,
        headers: [...request.headers],
        body: request.body.length === 0 ? null : request.body,
      },
      {
        onRequestStart(started) {
          controller = started;
          if (abortedBy !== undefined) started.abort(new Error('The exchange was given up.'));
        },
        onResponseStart(_controller, status, headers) {
          if (status < 200) return;
          isUnframed = endsWithConnection(headers);
          listener.onHead({ status, headers });
        },
        onResponseData(_controller, chunk) {
          listener.onData(chunk);
        },
        onResponseEnd() {
          if (!isUnframed) {
            endAs(socketState.wasReset);
            return;
          }
          isIdle = false;
          socketState.probe(endAs);
        },
        onResponseError(_controller, error) {
          fail(error);
        },
      },
    );

    return {
      abort(cause) {
        if (ended) return;
        abortedBy = cause;
        if (controller !== undefined) controller.abort(new Error('The exchange was given up.'));
        // Before the connection stands the client has not started the request, and destroying it ends that.
        else close();
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
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
