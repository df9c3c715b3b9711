import { createDeadlineSignal } from '../clock';
import type { Clock } from '../clock';
import { createConnectionPool } from '../exchanges';
import type { AnswerHead, ConnectionPool } from '../exchanges';
import type { CallAnswer, Caller, OutgoingCall } from './types';

/** What calls are made with. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly pool: Pick<ConnectionPool, 'send'>;
}

/** Calls that wait at one address at once: a watch, an exchange, a read, and one that takes over from a silent one. */
const MOST_CONNECTIONS = 4;
/** Time for a connection, ms; several round trips of the longest links. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle time within which a kept connection is used, ms; listeners of instances close theirs after a minute. */
const MOST_IDLE_MS = 8_000;

const JSON_HEADERS = ['content-type', 'application/json'];
const EMPTY = new Uint8Array();

/** Collects one answer as it comes. */
function collectAnswer(wantedHeader: string | undefined) {
  const chunks: Buffer[] = [];
  let status = 0;
  let header: string | undefined;
  return {
    onHead(head: AnswerHead) {
      status = head.status;
      if (wantedHeader !== undefined) [header] = [head.headers[wantedHeader]].flat();
    },
    // The bytes are only valid during the call.
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

/** Makes calls over the connections of a pool. */
export function createCaller({ clock, pool }: CallerOptions): Caller {
  const send = (address: string, call: OutgoingCall, signal: AbortSignal): Promise<CallAnswer> =>
    new Promise((resolve, reject) => {
      const collected = collectAnswer(call.wantedHeader);
      const text = call.text ?? '';
      const exchange = pool.send(
        address,
        {
          mostConnections: MOST_CONNECTIONS,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          mostIdleMs: MOST_IDLE_MS,
        },
        {
          method: call.method,
          path: call.path,
          headers: text === '' ? [] : JSON_HEADERS,
          body: text === '' ? EMPTY : Buffer.from(text),
        },
        {
          onHead: collected.onHead,
          onData: collected.onData,
          onEnd(end) {
            if (end.kind === 'whole') resolve(collected.answer());
            else reject(new Error(end.reason));
          },
        },
      );
      if (exchange === undefined) {
        reject(new Error('all connections to it are in use'));
        return;
      }
      const giveUp = () => exchange.abort('timeout');
      if (signal.aborted) giveUp();
      else signal.addEventListener('abort', giveUp, { once: true });
    });

  return {
    async call(address, call, signal = new AbortController().signal) {
      using deadline = createDeadlineSignal(clock, signal, call.answerByMs);
      return await send(address, call, deadline.signal);
    },
  };
}

/** A caller with connections of its own. */
export function openCaller(clock: Clock): Caller & Disposable {
  const pool = createConnectionPool(() => clock.monotonicMs());
  return { ...createCaller({ clock, pool }), [Symbol.dispose]: () => pool[Symbol.dispose]() };
}
