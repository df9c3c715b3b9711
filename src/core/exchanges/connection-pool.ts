import { openConnection } from './connection';
import type { Connection } from './connection';
import type { AnswerListener, Exchange, OutgoingRequest } from './types';

/** How a request wants to be sent. */
export interface SendOptions {
  /** Connections that may be open to the address at once. */
  readonly mostConnections: number;
  readonly connectTimeoutMs: number;
  /** Connections that were idle for longer are not used; a server may be closing them just now. */
  readonly mostIdleMs: number;
}

/** Kept connections to many addresses. */
export interface ConnectionPool extends Disposable {
  /** Whether a request can be sent to the address without more connections than it may have. */
  hasRoom(address: string, mostConnections: number): boolean;
  /** Whether a kept connection to the address can be used at once. */
  hasIdle(address: string, mostIdleMs: number): boolean;
  /** Sends on the connection that was used last, or on a new one; undefined where there is no room. */
  send(
    address: string,
    options: SendOptions,
    request: OutgoingRequest,
    listener: AnswerListener,
  ): Exchange | undefined;
  /** Open connections to an address, idle ones included. */
  count(address: string): number;
  /** Closes the idle connections to an address that is not used any more. */
  forget(address: string): void;
}

/** How long a connection may stay idle where the other side does not state it, ms. */
const IDLE_TIMEOUT_MS = 10_000;

/** A pool without connections. */
export function createConnectionPool(nowMs: () => number): ConnectionPool {
  const byAddress = new Map<string, Set<Connection>>();

  const connectionsTo = (address: string): Set<Connection> => {
    const known = byAddress.get(address);
    if (known !== undefined) return known;
    const connections = new Set<Connection>();
    byAddress.set(address, connections);
    return connections;
  };

  /** The idle connection that was used last: the others can time out, so that no more stay than are needed. */
  const findIdle = (connections: Set<Connection>, mostIdleMs: number): Connection | undefined => {
    let best: Connection | undefined;
    for (const connection of connections) {
      if (!connection.isIdle || connection.isClosed) continue;
      if (nowMs() - connection.idleSinceMs > mostIdleMs) continue;
      if (best === undefined || connection.idleSinceMs > best.idleSinceMs) best = connection;
    }
    return best;
  };

  const open = (address: string, connections: Set<Connection>, connectTimeoutMs: number) => {
    const connection: Connection = openConnection({
      address,
      connectTimeoutMs,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      nowMs,
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

  const hasRoom = (address: string, mostConnections: number): boolean => {
    const connections = byAddress.get(address);
    if (connections === undefined || connections.size < mostConnections) return true;
    for (const connection of connections) if (connection.isIdle) return true;
    return false;
  };

  /** Closes one connection that has been idle too long for this request, to make room for a fresh one. */
  const makeRoom = (connections: Set<Connection>): void => {
    for (const connection of connections) {
      if (!connection.isIdle) continue;
      connection[Symbol.dispose]();
      return;
    }
  };

  return {
    hasRoom,
    hasIdle(address, mostIdleMs) {
      const connections = byAddress.get(address);
      return connections !== undefined && findIdle(connections, mostIdleMs) !== undefined;
    },
    send(address, options, request, listener) {
      const connections = connectionsTo(address);
      const idle = findIdle(connections, options.mostIdleMs);
      if (idle !== undefined) return idle.send(request, listener);
      if (connections.size >= options.mostConnections) makeRoom(connections);
      if (connections.size >= options.mostConnections) return undefined;
      const fresh = connectionsTo(address);
      return open(address, fresh, options.connectTimeoutMs).send(request, listener);
    },
    count: (address) => byAddress.get(address)?.size ?? 0,
    forget(address) {
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
