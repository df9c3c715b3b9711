import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests in progress on each connection of callers. */
export interface CallerConnections {
  /** Adds a request; returns false if no answer to it can be sent, since the connection is about to be closed. */
  begin(socket: Socket, response: ServerResponse): boolean;
  /**
   * Decides, when the head of an answer is sent, whether it announces the close of the connection. That is so only if no
   * further request has been read; later ones are not begun.
   */
  announceClose(response: ServerResponse): boolean;
  /**
   * Begins no further request on a connection, and calls `close` once no answer on it is in progress: at once, or with
   * true after the last one.
   */
  closeAfterAnswers(socket: Socket, close: (hadAnswers: boolean) => void): void;
}

interface Connection {
  /** Answers in progress, in the order of their requests. */
  readonly open: Set<ServerResponse>;
  newest: ServerResponse;
  isClosing: boolean;
  /** Called when the last answer in progress has ended; undefined if nothing waits for that. */
  onLastAnswer: (() => void) | undefined;
}

/**
 * Creates a record without connections.
 *
 * A caller may send further requests before it has its answer (pipelining). If the close of the connection were announced
 * then, servers would run requests whose answers can't be sent. When such a caller leaves, Node.js reports that for the
 * first of its requests only; servers would go on with the others, and a planned stop would wait for them.
 */
export function createCallerConnections(): CallerConnections {
  const bySocket = new WeakMap<Socket, Connection>();
  const byResponse = new WeakMap<ServerResponse, Connection>();

  const open = (socket: Socket, newest: ServerResponse): Connection => {
    const connection: Connection = {
      open: new Set(),
      newest,
      isClosing: false,
      onLastAnswer: undefined,
    };
    bySocket.set(socket, connection);
    socket.once('close', () => {
      for (const response of connection.open) {
        // The answer in turn has the socket; Node.js closes it.
        if (response.socket === null) {
          response.destroy();
          response.emit('close');
        }
      }
    });
    return connection;
  };

  return {
    begin(socket, response) {
      const connection = bySocket.get(socket) ?? open(socket, response);
      if (connection.isClosing) return false;
      connection.newest = response;
      connection.open.add(response);
      byResponse.set(response, connection);
      response.once('close', () => {
        connection.open.delete(response);
        if (connection.open.size === 0) connection.onLastAnswer?.();
      });
      return true;
    },
    announceClose(response) {
      const connection = byResponse.get(response);
      if (connection === undefined || connection.newest !== response) return false;
      connection.isClosing = true;
      return true;
    },
    closeAfterAnswers(socket, close) {
      const connection = bySocket.get(socket);
      if (connection === undefined || connection.open.size === 0) {
        close(false);
        return;
      }
      connection.isClosing = true;
      connection.onLastAnswer ??= () => close(true);
    },
  };
}
