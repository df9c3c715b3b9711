import { Socket } from 'node:net';

/** Where log text goes. */
export interface TextSink {
  write(text: string): void;
  /** Bytes that have been handed over and not been read yet. */
  waitingBytes(): number;
}

const STANDARD_OUTPUT = 1;

/** A socket over standard output; undefined where that is a file or a terminal, which the runtime makes no socket for. */
function openSocket(): Socket | undefined {
  try {
    return new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  } catch {
    return undefined;
  }
}

/**
 * Standard output that never holds the process up.
 *
 * The runtime's own writes to a pipe wait for its reader: one that stops reading stops the whole process, and with it
 * every request. A socket over the same descriptor keeps what is not read yet in memory instead; callers bound that
 * by `waitingBytes`. Files and terminals are written to as ever.
 */
export function openStandardOutput(): TextSink {
  const socket = openSocket();
  if (socket === undefined) {
    return {
      write: (text) => process.stdout.write(text),
      waitingBytes: () => process.stdout.writableLength,
    };
  }
  // A reader that has gone is no reason to end; its lines are lost with it.
  socket.on('error', () => {});
  socket.unref();
  return {
    // What fits into the pipe is written during the call, so that this also serves in the last moment of the process.
    write: (text) => socket.write(text),
    waitingBytes: () => socket.writableLength,
  };
}
