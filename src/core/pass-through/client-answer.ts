import type { ServerResponse } from 'node:http';
import type { HeaderMap } from '../exchanges';
import {
  ATTEMPTS_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  STREAM_VERSION_HEADER,
} from './forwarding';
import { retryAfterText, statusOf } from './refusals';
import type { ClientAnswer, Refusal } from './types';

/** Options of `createClientAnswer`. */
export interface ClientAnswerOptions {
  readonly response: ServerResponse;
  /** Decides, when the head is sent, whether the connection is closed after the answer. */
  readonly announcesClose: () => boolean;
  /** Whether the reader is another instance, which needs the outcome of the request. */
  readonly isForPeer: boolean;
}

/** Creates an answer that writes to an HTTP response. */
export function createClientAnswer(options: ClientAnswerOptions): ClientAnswer {
  const { response, announcesClose, isForPeer } = options;
  let attempts = 0;
  let streamVersion: string | undefined;
  let hasLength = false;
  const closeHeaders = (): HeaderMap => (announcesClose() ? { connection: 'close' } : {});
  const attemptHeaders = (): HeaderMap =>
    isForPeer ? { [ATTEMPTS_HEADER]: String(attempts) } : {};
  const versionHeaders = (): HeaderMap =>
    isForPeer && streamVersion !== undefined ? { [STREAM_VERSION_HEADER]: streamVersion } : {};

  const refuse = (refusal: Refusal): void => {
    const body = JSON.stringify({ reason: refusal.reason, outcome: refusal.outcome });
    const { retryAfterMs } = refusal;
    response.writeHead(statusOf(refusal), {
      ...closeHeaders(),
      ...attemptHeaders(),
      ...(retryAfterMs === undefined ? {} : { 'retry-after': retryAfterText(retryAfterMs) }),
      ...(isForPeer ? { [OUTCOME_HEADER]: refusal.outcome, [REASON_HEADER]: refusal.reason } : {}),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  };

  return {
    get headSent() {
      return response.headersSent;
    },
    recordAttempts(count) {
      attempts = count;
    },
    recordStreamVersion(softwareVersion) {
      streamVersion = softwareVersion;
    },
    sendHead(status, headers) {
      hasLength = headers['content-length'] !== undefined;
      response.writeHead(status, {
        ...headers,
        ...closeHeaders(),
        ...attemptHeaders(),
        ...versionHeaders(),
      });
    },
    sendData: (chunk) => response.write(chunk),
    end: () => response.end(),
    closeIncomplete() {
      const { socket } = response;
      if (socket === null) response.destroy();
      // To a caller of HTTP/1.0, a connection that is closed in good order would be the end of the answer.
      else if (!hasLength && !response.chunkedEncoding) socket.resetAndDestroy();
      // `destroySoon` still delivers buffered data. Without its end, the answer cannot be taken for complete.
      else socket.destroySoon();
    },
    refuse,
    onDrain: (callback) => response.once('drain', callback),
  };
}
