import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** A caller that sends several requests on one connection without waiting for answers, and reads slowly. */
export interface PipeliningCaller {
  readonly address: string;
  /** Complete requests, as bytes. */
  readonly requests: readonly string[];
  /** Bytes of each piece in which the requests are written. */
  readonly pieceBytes: number;
  /** Bytes that are read at a time, and the pause after each, ms. */
  readonly readBytes: number;
  readonly pauseMs: number;
  /** Bytes of answers after which the connection is closed, and the time after which it is closed in any case, ms. */
  readonly untilBytes: number;
  readonly closeAfterMs: number;
}

/** Sends the requests and reads their answers until the connection ends or is closed; returns how many bytes were read. */
export async function callPipelining(caller: PipeliningCaller): Promise<number> {
  const [host = '', port] = caller.address.split(':');
  const socket = connect({ host, port: Number(port) });
  const text = Buffer.from(caller.requests.join(''), 'latin1');
  let readBytes = 0;
  let isOpen = true;
  socket.on('error', () => {});
  socket.on('close', () => {
    isOpen = false;
  });
  const closing = setTimeout(() => socket.destroy(), caller.closeAfterMs);
  const write = async (): Promise<void> => {
    for (let at = 0; isOpen && at < text.length; at += caller.pieceBytes) {
      socket.write(text.subarray(at, at + caller.pieceBytes));
      await sleep(1);
    }
  };
  const read = async (): Promise<void> => {
    while (isOpen && readBytes <= caller.untilBytes) {
      const chunk: Buffer | null = socket.read(caller.readBytes) ?? socket.read();
      readBytes += chunk?.length ?? 0;
      await sleep(caller.pauseMs);
    }
    socket.destroy();
  };
  socket.pause();
  await Promise.all([write(), read()]);
  clearTimeout(closing);
  return readBytes;
}
