import type { CallHandler } from '../calls';
import type { Clock } from '../clock';
import { sendIgnoringAnswer } from '../exchanges';
import type { ConnectionPool } from '../exchanges';

/** Path on the listener for other instances that accepts statements too large for a datagram, of load or of quotas. */
export const STATEMENT_PATH = '/load';

/** Maximum number of connections per instance: one for the statement in flight and one for the next. */
const MAX_CONNECTIONS = 2;
/** Timeout for opening a connection within a region, ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Maximum idle time of a reused connection, ms; instances close idle connections after a minute. */
const MAX_IDLE_MS = 45_000;

/**
 * Creates a sender for statements that are too large for a datagram. It reuses connections, and drops a statement for
 * which none is free, since the next statement supersedes it.
 */
export function createStatementSender(pool: Pick<ConnectionPool, 'send'>, clock: Clock) {
  return (address: string, text: string): void => {
    const body = Buffer.from(text);
    // The next statement replaces a lost one.
    sendIgnoringAnswer(
      pool,
      clock,
      address,
      {
        maxConnections: MAX_CONNECTIONS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxIdleMs: MAX_IDLE_MS,
      },
      {
        method: 'POST',
        path: STATEMENT_PATH,
        headers: ['content-type', 'application/json'],
        body,
      },
    );
  };
}

const NO_CONTENT = 204;

/** Creates the handler that passes statements of other instances to `receive`. */
export function createStatementHandler(receive: (text: string) => void): CallHandler {
  return ({ text }) => {
    receive(text);
    return { status: NO_CONTENT, text: '' };
  };
}
