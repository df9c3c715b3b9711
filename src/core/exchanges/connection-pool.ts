import { openConnection } from './connection';
import type { Connection } from './connection';
import { NO_LOOP_ACTIVITY } from '../loop-activity';
import type { LoopActivity } from '../loop-activity';
import type { AnswerListener, Exchange, OutgoingRequest } from './types';

/** Options for sending one request. */
export interface SendOptions {
  /** Maximum number of open connections to the address. */
  readonly maxConnections: number;
  readonly connectTimeoutMs: number;
  /**
   * Maximum idle time of a connection that is reused, ms. The server may be closing one that was idle for longer.
   */
  readonly maxIdleMs: number;
}

/** Pool of persistent connections to many addresses. */
export interface ConnectionPool extends Disposable {
  /** Returns whether a request can be sent to the address without exceeding its maximum number of connections. */
  hasCapacity(address: string, maxConnections: number): boolean;
  /** Returns whether an idle connection to the address can be used at once. */
  hasIdleConnection(address: string, maxIdleMs: number): boolean;
  /**
   * Sends on the most recently used idle connection, or on a new one; undefined if neither is available. If the idle one
   * turns out to be closed before the request is written, it is sent on a new one.
   */
  send(
    address: string,
    options: SendOptions,
    request: OutgoingRequest,
    listener: AnswerListener,
  ): Exchange | undefined;
  /** Returns the number of open connections to an address, idle ones included. */
  count(address: string): number;
  /** Closes the idle connections to an address that is no longer used. */
  closeIdle(address: string): void;
}

/** How long a connection may stay idle if the other side does not state it, ms. */
const IDLE_TIMEOUT_MS = 10_000;

/** Creates an empty pool. */
export function createConnectionPool(
  nowMs: () => number,
  activity: Pick<LoopActivity, 'begin'> = NO_LOOP_ACTIVITY,
): ConnectionPool {
  const byAddress = new Map<string, Set<Connection>>();

  const connectionsTo = (address: string): Set<Connection> => {
    const known = byAddress.get(address);
    if (known !== undefined) return known;
    const connections = new Set<Connection>();
    byAddress.set(address, connections);
    return connections;
  };

  /** Returns the most recently used idle connection, so that unneeded ones time out. */
  const findIdle = (connections: Set<Connection>, maxIdleMs: number): Connection | undefined => {
    let best: Connection | undefined;
    for (const connection of connections) {
      if (!connection.isIdle || connection.isClosed) continue;
      if (nowMs() - connection.idleSinceMs > maxIdleMs) continue;
      if (best === undefined || connection.idleSinceMs > best.idleSinceMs) best = connection;
    }
    return best;
  };

  const openNew = (address: string, connections: Set<Connection>, connectTimeoutMs: number) => {
    const connection: Connection = openConnection({
      address,
      connectTimeoutMs,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      nowMs,
      activity,
      onClosed() {
        connections.delete(connection);
        if (connections.size === 0 && byAddress.get(address) === connections) {
          byAddress.delete(address);
        }
      },
    });
    connections.add(connection);
    return connection;
  };

  const hasCapacity = (address: string, maxConnections: number): boolean => {
    const connections = byAddress.get(address);
    if (connections === undefined || connections.size < maxConnections) return true;
    for (const connection of connections) if (connection.isIdle) return true;
    return false;
  };

  /** Closes one connection that has been idle too long for this request, to free capacity for a new one. */
  const closeOneIdle = (connections: Set<Connection>): void => {
    for (const connection of connections) {
      if (!connection.isIdle) continue;
      connection[Symbol.dispose]();
      return;
    }
  };

  const sendOverNew: ConnectionPool['send'] = (address, options, request, listener) => {
    const connections = connectionsTo(address);
    if (connections.size >= options.maxConnections) closeOneIdle(connections);
    if (connections.size >= options.maxConnections) return undefined;
    // Closing the only connection to the address removes its set from the pool, so the set is looked up again.
    const currentConnections = connectionsTo(address);
    return openNew(address, currentConnections, options.connectTimeoutMs).send(request, listener);
  };

  /**
   * Sends over an idle connection, and over a new one if the server has closed the idle one.
   *
   * A server may close a connection at any time between two requests. Without this, a request that may not be repeated is
   * lost although none of it has left the process, and the server is taken for one that can't be reached.
   */
  const sendOverIdle = (
    idle: Connection,
    ...[address, options, request, listener]: Parameters<ConnectionPool['send']>
  ): Exchange => {
    let replacement: Exchange | undefined;
    let isAborted = false;
    const onEnd: AnswerListener['onEnd'] = (end) => {
      if (end.kind === 'neverSent' && !isAborted) {
        replacement = sendOverNew(address, options, request, listener);
        if (replacement !== undefined) return;
      }
      listener.onEnd(end);
    };
    const { onHead, onData } = listener;
    const first = idle.send(request, { onHead, onData, onEnd });
    return {
      abort(cause) {
        isAborted = true;
        (replacement ?? first).abort(cause);
      },
      abortEndless: (endless) => (replacement ?? first).abortEndless(endless),
      discardRest: (clock, closeByMs) => (replacement ?? first).discardRest(clock, closeByMs),
      pause: () => (replacement ?? first).pause(),
      resume: () => (replacement ?? first).resume(),
    };
  };

  return {
    hasCapacity,
    hasIdleConnection(address, maxIdleMs) {
      const connections = byAddress.get(address);
      return connections !== undefined && findIdle(connections, maxIdleMs) !== undefined;
    },
    send(address, options, request, listener) {
      const known = byAddress.get(address);
      const idle = known === undefined ? undefined : findIdle(known, options.maxIdleMs);
      return idle === undefined
        ? sendOverNew(address, options, request, listener)
        : sendOverIdle(idle, address, options, request, listener);
    },
    count: (address) => byAddress.get(address)?.size ?? 0,
    closeIdle(address) {
      for (const connection of byAddress.get(address) ?? []) {
        if (connection.isIdle) connection[Symbol.dispose]();
      }
    },
    [Symbol.dispose]() {
      for (const connections of byAddress.values()) {
        for (const connection of connections) connection[Symbol.dispose]();
      }
    },
  };
}
