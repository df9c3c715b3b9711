import type { ServerResponse } from 'node:http';
import type { HeaderMap } from '../exchanges';
import { ATTEMPTS_HEADER, OUTCOME_HEADER } from './forwarding';
import { retryAfterText, statusOf } from './refusals';
import type { ClientAnswer, Refusal } from './types';

/** How an answer is written. */
export interface ClientAnswerOptions {
  readonly response: ServerResponse;
  /** Whether the connection is closed after the answer, because this instance is about to stop. */
  readonly isLeaving: () => boolean;
  /** Whether the reader is another instance, which has to know what became of the request. */
  readonly isForPeer: boolean;
}

/** An answer over an HTTP response. */
export function createClientAnswer(options: ClientAnswerOptions): ClientAnswer {
  const { response, isLeaving, isForPeer } = options;
  let attempts = 0;
  const leavingHeaders = (): HeaderMap => (isLeaving() ? { connection: 'close' } : {});
  const attemptHeaders = (): HeaderMap =>
    isForPeer ? { [ATTEMPTS_HEADER]: String(attempts) } : {};

  const refuse = (refusal: Refusal): void => {
    const body = JSON.stringify({ reason: refusal.reason, outcome: refusal.outcome });
    const { retryAfterMs } = refusal;
    response.writeHead(statusOf(refusal), {
      ...leavingHeaders(),
      ...attemptHeaders(),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': retryAfterText(retryAfterMs) }),
      ...(isForPeer ? { [OUTCOME_HEADER]: refusal.outcome } : {}),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  };

  return {
    get headSent() {
      return response.headersSent;
    },
    noteAttempts(count) {
      attempts = count;
    },
    sendHead(status, headers) {
      response.writeHead(status, { ...headers, ...leavingHeaders(), ...attemptHeaders() });
    },
    sendData: (chunk) => response.write(chunk),
    end: () => response.end(),
    breakOff() {
      // What is ready is still delivered; without its end the answer cannot be taken for whole.
      const { socket } = response;
      if (socket === null) response.destroy();
      else socket.destroySoon();
    },
    refuse,
    onDrain: (callback) => response.once('drain', callback),
  };
}
