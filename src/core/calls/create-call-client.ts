import { createDeadlineSignal } from '../clock';
import type { Clock } from '../clock';
import { REST_WAIT_MS, createConnectionPool } from '../exchanges';
import type { AnswerHead, ConnectionPool, Exchange } from '../exchanges';
import type { EndlessBytes } from '../outcomes';
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

/** Maximum body of an answer, bytes: several times the published state of the largest deployments. */
export const MAX_ANSWER_BYTES = 67_108_864;

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Collects the parts of one answer as they arrive. */
function collectAnswer(answerHeader: string | undefined) {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let status = 0;
  let header: string | undefined;
  return {
    addHead(head: AnswerHead) {
      status = head.status;
      if (answerHeader !== undefined) [header] = [head.headers[answerHeader]].flat();
    },
    /** Returns what is too much of the body, if it is. */
    addChunk(chunk: Buffer): EndlessBytes | undefined {
      bytes += chunk.length;
      if (bytes > MAX_ANSWER_BYTES) return { shape: 'answerBody', bytes };
      // The bytes are only valid during the callback.
      chunks.push(Buffer.from(chunk));
      return undefined;
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
      const exchange: Exchange | undefined = pool.send(
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
          onHead(head) {
            collector.addHead(head);
            if (isSuccess(head.status)) return;
            resolve(collector.answer());
            exchange?.discardRest(clock, clock.monotonicMs() + REST_WAIT_MS);
          },
          onData(chunk) {
            const endless = collector.addChunk(chunk);
            if (endless !== undefined) exchange?.abortEndless(endless);
          },
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
