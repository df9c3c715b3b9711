import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock';

/** Interval between looks at all connections, ms. */
const LOOK_INTERVAL_MS = 100;

interface Progress {
  /** Bytes read from the connection when a head or bytes of a body last arrived. */
  readBytes: number;
  /** Whether a body is being dropped that nobody reads, whose bytes are not seen. */
  isDropping: boolean;
}

/**
 * Closes connections to a server that bring more than `maxBytes` without the head of a request or bytes of its body. The
 * server itself reads empty lines, blanks before a header's value and the digits of a chunk's size for as long as the other
 * side writes them.
 */
export function boundIncoming(
  server: Server,
  clock: Pick<Clock, 'monotonicMs' | 'schedule'>,
  maxBytes: number,
): Disposable {
  const connections = new Map<Socket, Progress>();
  let nextLook: Disposable | undefined;

  const look = (): void => {
    for (const [socket, { readBytes, isDropping }] of connections) {
      if (!isDropping && socket.bytesRead - readBytes > maxBytes) socket.destroy();
    }
    nextLook = clock.schedule(clock.monotonicMs() + LOOK_INTERVAL_MS, look);
  };

  server.on('connection', (socket: Socket) => {
    connections.set(socket, { readBytes: 0, isDropping: false });
    socket.on('close', () => connections.delete(socket));
  });
  server.on('request', (incoming: IncomingMessage) => {
    const { socket } = incoming;
    const progress = connections.get(socket);
    if (progress === undefined) return;
    const record = (): void => {
      progress.readBytes = socket.bytesRead;
    };
    record();
    // A listener of ours would begin the reading of a body that nobody reads.
    if (incoming.listenerCount('data') > 0) incoming.on('data', record);
    else progress.isDropping = true;
    incoming.on('end', () => {
      record();
      progress.isDropping = false;
    });
  });
  look();
  return {
    [Symbol.dispose]() {
      nextLook?.[Symbol.dispose]();
    },
  };
}
