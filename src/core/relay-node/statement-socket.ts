import { createSocket } from 'node:dgram';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import { RELAY_NODE_EVENTS } from './events';

/** Options of {@link openStatementSocket}. */
export interface StatementSocketOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  /** Sends a statement that is too large for a datagram. */
  readonly sendLarge: (address: string, text: string) => void;
}

/** Sends statements of load and quota use to other instances, and receives theirs. */
export interface StatementSocket extends AsyncDisposable {
  send(address: string, text: string): void;
  /** Calls back for each statement received from now on. */
  onStatement(listener: (text: string) => void): void;
}

/** Maximum size of a statement that is sent as a datagram, bytes; it fits into one network frame. */
const MAX_DATAGRAM_BYTES = 1_400;

/**
 * Opens the UDP socket for statements.
 *
 * Statements are sent dozens of times a second without waiting for a reply, and each replaces the previous one, so a
 * lost datagram does no harm. Sent as HTTP requests, they took more CPU time than everything else in an instance
 * without callers.
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
  /** Logs the first of consecutive failures; the following ones would repeat it dozens of times a second. */
  const recordResult = (error: Error | null): void => {
    const isFirstFailure = error !== null && !isFailing;
    isFailing = error !== null;
    if (isFirstFailure) {
      logger.event(RELAY_NODE_EVENTS.statementsFail, { reason: errorText(error) });
    }
  };
  socket.on('error', recordResult);
  return {
    send(address, text) {
      const bytes = Buffer.from(text);
      if (bytes.length > MAX_DATAGRAM_BYTES) {
        options.sendLarge(address, text);
        return;
      }
      const colonIndex = address.lastIndexOf(':');
      const toPort = Number(address.slice(colonIndex + 1));
      if (toPort > 0) socket.send(bytes, toPort, address.slice(0, colonIndex), recordResult);
      else recordResult(new Error(`address "${address}" has no port`));
    },
    onStatement(listener) {
      socket.on('message', (bytes) => listener(bytes.toString('utf8')));
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        socket.close(() => resolve());
      }),
  };
}
