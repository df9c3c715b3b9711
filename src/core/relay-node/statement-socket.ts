import { createSocket } from 'node:dgram';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import { RELAY_NODE_EVENTS } from './events';

/** What the socket is opened with. */
export interface StatementSocketOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  /** Sends a statement that is too large for a datagram. */
  readonly sendLarge: (address: string, text: string) => void;
}

/** Tells other instances of this one's load. */
export interface StatementSocket extends AsyncDisposable {
  send(address: string, text: string): void;
  /** Hands on the statements of others from now on. */
  onStatement(take: (text: string) => void): void;
}

/** Largest statement that is sent as a datagram: what one frame of a network carries. */
const MOST_DATAGRAM_BYTES = 1_400;

/**
 * Opens the socket for statements.
 *
 * They are told dozens of times a second, nobody waits for an answer, and each is made good by the next, so datagrams
 * carry them: as requests on connections they took more processor time of an instance without callers than all else.
 */
export async function openStatementSocket(
  options: StatementSocketOptions,
): Promise<StatementSocket> {
  const { host, port, logger } = options;
  const socket = createSocket('udp4');
  await new Promise<void>((resolve, reject) => {
    socket.once('error', (error) => {
      const place = { step: 'listen-statements' };
      reject(
        gatewayError(ERRORS.listenerFailed, [`${host}:${port}`, errorText(error)], place, error),
      );
    });
    socket.bind({ address: host, port }, resolve);
  });
  let isFailing = false;
  /** Tells of the first failure in a row: the next ones would say the same dozens of times a second. */
  const noteResult = (error: Error | null): void => {
    const hasBegunToFail = error !== null && !isFailing;
    isFailing = error !== null;
    if (hasBegunToFail) {
      logger.event(RELAY_NODE_EVENTS.statementsFail, { reason: errorText(error) });
    }
  };
  socket.on('error', noteResult);
  return {
    send(address, text) {
      const bytes = Buffer.from(text);
      if (bytes.length > MOST_DATAGRAM_BYTES) {
        options.sendLarge(address, text);
        return;
      }
      const colonAt = address.lastIndexOf(':');
      const toPort = Number(address.slice(colonAt + 1));
      if (toPort > 0) socket.send(bytes, toPort, address.slice(0, colonAt), noteResult);
      else noteResult(new Error(`${address} names no port`));
    },
    onStatement(take) {
      socket.on('message', (bytes) => take(bytes.toString('utf8')));
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        socket.close(() => resolve());
      }),
  };
}
