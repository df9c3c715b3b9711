import { createDeadlineSignal } from '../clock';
import type { Clock } from '../clock';
import { createConnectionPool } from '../exchanges';
import type { AnswerHead, ConnectionPool } from '../exchanges';
import type { CallAnswer, CallClient, OutgoingCall } from './types';

/** Options of a client for calls. */
export interface CallClientOptions {
  readonly clock: Clock;
  readonly pool: Pick<ConnectionPool, 'send'>;
}

/**
 * Maximum concurrent calls per address: a watch, a membership exchange, a read, and one that replaces an unanswered
 * call.
 */
const MAX_CONNECTIONS = 4;
/** Timeout of a connection attempt, ms; several round trips of the longest links. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum idle time of a connection that is reused, ms; listeners of instances close theirs after a minute. */
const MAX_IDLE_MS = 8_000;

const JSON_HEADERS = ['content-type', 'application/json'];
const EMPTY = new Uint8Array();

/** Collects the parts of one answer as they arrive. */
function collectAnswer(answerHeader: string | undefined) {
  const chunks: Buffer[] = [];
  let status = 0;
  let header: string | undefined;
  return {
    onHead(head: AnswerHead) {
      status = head.status;
      if (answerHeader !== undefined) [header] = [head.headers[answerHeader]].flat();
    },
    // The bytes are only valid during the callback.
    onData(chunk: Buffer) {
      chunks.push(Buffer.from(chunk));
    },
    answer: (): CallAnswer => ({
      status,
      text: Buffer.concat(chunks).toString('utf8'),
      ...(header === undefined ? {} : { header }),
    }),
  };
}

/** Creates a client that makes calls over the connections of a pool. */
export function createCallClient({ clock, pool }: CallClientOptions): CallClient {
  const send = (address: string, call: OutgoingCall, signal: AbortSignal): Promise<CallAnswer> =>
    new Promise((resolve, reject) => {
      const collector = collectAnswer(call.answerHeader);
      const text = call.text ?? '';
      const exchange = pool.send(
        address,
        {
          maxConnections: MAX_CONNECTIONS,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          maxIdleMs: MAX_IDLE_MS,
        },
        {
          method: call.method,
          path: call.path,
          headers: text === '' ? [] : JSON_HEADERS,
          body: text === '' ? EMPTY : Buffer.from(text),
        },
        {
          onHead: collector.onHead,
          onData: collector.onData,
          onEnd(end) {
            if (end.kind === 'whole') resolve(collector.answer());
            else reject(new Error(end.reason));
          },
        },
      );
      if (exchange === undefined) {
        reject(new Error('all connections to the address are in use'));
        return;
      }
      const abortExchange = () => exchange.abort('timeout');
      if (signal.aborted) abortExchange();
      else signal.addEventListener('abort', abortExchange, { once: true });
    });

  return {
    async call(address, call, signal = new AbortController().signal) {
      using deadline = createDeadlineSignal(clock, signal, call.answerByMs);
      return await send(address, call, deadline.signal);
    },
  };
}

/** Creates a client with its own connection pool. */
export function openCallClient(clock: Clock): CallClient & Disposable {
  const pool = createConnectionPool(() => clock.monotonicMs());
  return { ...createCallClient({ clock, pool }), [Symbol.dispose]: () => pool[Symbol.dispose]() };
}
