import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { EventLoopTurns } from '../intake';

/**
 * Closes connections of a server that have reached the idle timeout, unless a request is found to have arrived.
 *
 * After a turn in which the event loop was blocked, timers run before sockets are read. A request that arrived in time
 * would then be discarded unread with its connection.
 */
export function closeIdleConnections(server: Server, turns: EventLoopTurns): void {
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket;
    turns.atTurnEnd(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
