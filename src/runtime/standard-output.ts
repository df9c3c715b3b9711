import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Where log text goes. */
export interface TextSink {
  write(text: string): void;
  /** Writes what can be written without waiting; for the last moment of the process. */
  writeAtExit(text: string): void;
  /** Bytes that have been handed over and not been read yet. */
  waitingBytes(): number;
}

const STANDARD_OUTPUT = 1;

/** Whether standard output is a pipe or a socket, whose reader may stop reading. */
function mayBlock(): boolean {
  const stat = fstatSync(STANDARD_OUTPUT);
  return stat.isFIFO() || stat.isSocket();
}

function writeWithoutWaiting(text: string): void {
  try {
    writeSync(STANDARD_OUTPUT, text);
  } catch {
    // The reader has gone or does not read. Nothing can be told any more, and the process is ending.
  }
}

/**
 * Standard output that never holds the process up.
 *
 * The runtime's own writes to a pipe wait for its reader: one that stops reading stops the whole process, and with it
 * every request. A socket over the same descriptor keeps what is not read yet in memory instead; callers bound that
 * by `waitingBytes`. Files do not need this, and the runtime has no such socket for them.
 */
export function openStandardOutput(): TextSink {
  if (!mayBlock()) {
    return {
      write: (text) => process.stdout.write(text),
      writeAtExit: (text) => process.stdout.write(text),
      waitingBytes: () => process.stdout.writableLength,
    };
  }
  const socket = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  // A reader that has gone is no reason to end; its lines are lost with it.
  socket.on('error', () => {});
  socket.unref();
  return {
    write: (text) => socket.write(text),
    writeAtExit: writeWithoutWaiting,
    waitingBytes: () => socket.writableLength,
  };
}
