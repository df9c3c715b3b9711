import type { ServerResponse } from 'node:http';
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
    // A chunked answer without its last chunk, or one shorter than its Content-Length, is an error to every
    // HTTP client; ending it in order would pass half a cutting list off as a whole one.
    abort() {
      response.destroy();
    },
  };
}
