import type { CallHandler } from '../calls';
import type { ConnectionPool } from '../exchanges';

/** Path on the listener for other instances that takes statements of their load. */
export const STATEMENT_PATH = '/load';

/** One statement is under way to an instance at a time, and perhaps the next one. */
const MOST_CONNECTIONS = 2;
/** Time for a connection within a region, ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle time within which a kept connection is used, ms; instances close theirs after a minute. */
const MOST_IDLE_MS = 45_000;

/** A statement is made good by the next one, so nobody waits for what becomes of it. */
const IGNORE_ANSWER = { onHead() {}, onData() {}, onEnd() {} };

/** Sends statements over kept connections; one that finds none free is left out, since the next says more. */
export function createStatementSender(pool: Pick<ConnectionPool, 'send'>) {
  return (address: string, text: string): void => {
    const body = Buffer.from(text);
    pool.send(
      address,
      {
        mostConnections: MOST_CONNECTIONS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        mostIdleMs: MOST_IDLE_MS,
      },
      {
        method: 'POST',
        path: STATEMENT_PATH,
        headers: ['content-type', 'application/json'],
        body,
      },
      IGNORE_ANSWER,
    );
  };
}

const NO_CONTENT = 204;

/** Hands on the statements of others. */
export function answerStatements(take: (text: string) => void): CallHandler {
  return ({ text }) => {
    take(text);
    return { status: NO_CONTENT, text: '' };
  };
}
