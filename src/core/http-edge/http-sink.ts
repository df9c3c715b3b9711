import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock';
import { toProblem } from '../refusals';
import type { RefusalError } from '../refusals';
import type { ResponseSink } from '../serving';

/** Waits until a response takes more, or has gone. */
function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const go = () => {
      response.off('drain', go);
      response.off('close', go);
      resolve();
    };
    response.on('drain', go);
    response.on('close', go);
  });
}

/** Time for the last words of a broken stream to leave; a caller that reads nothing must not hold them longer. */
const LAST_WORDS_TIMEOUT_MS = 1_000;

function isEventStream(response: ServerResponse): boolean {
  return String(response.getHeader('content-type') ?? '').startsWith('text/event-stream');
}

/**
 * Ends an answer that can't be finished so that no client takes it for complete.
 *
 * A chunked answer without its last chunk, or one shorter than its Content-Length, is an error to every HTTP
 * client; ending it in order would pass half a cutting list off as a whole one. Readers of an event stream
 * often treat a closed connection as the end, so they are sent an `error` event first.
 */
export function abortAnswer(
  response: ServerResponse,
  refusal: RefusalError,
  requestId: string,
  clock: Clock,
): void {
  if (response.destroyed || response.writableEnded || !isEventStream(response)) {
    response.destroy();
    return;
  }
  const close = () => response.destroy();
  const timer = clock.schedule(clock.monotonicMs() + LAST_WORDS_TIMEOUT_MS, close);
  const problem = JSON.stringify({ error: toProblem(refusal, requestId) });
  // The blank line ends whatever event was cut in the middle.
  response.write(`\n\nevent: error\ndata: ${problem}\n\n`, () => {
    timer[Symbol.dispose]();
    close();
  });
}

/** Passes an answer to a caller's connection. */
export function createHttpSink(response: ServerResponse, requestId: string): ResponseSink {
  return {
    get headSent() {
      return response.headersSent;
    },
    sendHead({ status, headers }) {
      const names = new Map<string, string[]>();
      for (const { name, value } of headers) names.set(name, [...(names.get(name) ?? []), value]);
      for (const [name, values] of names) {
        response.setHeader(name, values.length === 1 ? (values[0] ?? '') : values);
      }
      response.setHeader('x-request-id', requestId);
      response.writeHead(status);
      response.flushHeaders();
    },
    async sendChunk(chunk) {
      if (!response.write(chunk) && !response.destroyed) await waitForDrain(response);
    },
    end() {
      response.end();
    },
    abort() {
      response.destroy();
    },
  };
}
