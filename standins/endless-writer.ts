import type { Socket } from 'node:net';

/** What a stand-in server has written without end. */
export interface EndlessWriting {
  /** Resolves once the other side has closed the connection. */
  readonly closed: Promise<void>;
  /** Bytes that the other side has taken, and those in the buffers of the connection. */
  writtenBytes(): number;
}

/**
 * Writes `text` again and again, as fast as it is read, until the other side closes the connection; closes it itself after
 * `maxBytes`.
 */
export function writeEndlessly(
  socket: Socket,
  text: string,
  maxBytes = Number.POSITIVE_INFINITY,
): EndlessWriting {
  const unit = Buffer.from(text.repeat(Math.ceil(8_192 / text.length)), 'latin1');
  let writtenBytes = 0;
  const write = (): void => {
    while (!socket.destroyed && writtenBytes < maxBytes) {
      writtenBytes += unit.length;
      if (!socket.write(unit)) return;
    }
    socket.destroy();
  };
  socket.on('drain', write);
  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
  });
  write();
  return { closed, writtenBytes: () => writtenBytes };
}
