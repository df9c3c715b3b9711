import { createServer } from 'node:http';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Logger } from '../events';
import { handleCall } from './handle-call';
import type { CallHandlers } from './types';

/** Options of a listener for calls. */
export interface CallListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly handlers: CallHandlers;
}

/** A listener that only answers calls of other instances. */
export interface CallListener extends AsyncDisposable {
  readonly port: number;
}

/** How long another instance may keep a connection idle, ms: longer than the interval between membership exchanges. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const NOT_FOUND = 404;

/** Opens a listener for calls. */
export async function openCallListener(options: CallListenerOptions): Promise<CallListener> {
  const { host, port, logger, handlers } = options;
  const server = createServer({ noDelay: true }, (incoming, response) => {
    if (handleCall(handlers, incoming, response, logger)) return;
    response.writeHead(NOT_FOUND).end();
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.requestTimeout = 0;
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      const place = { step: 'listen-calls' };
      reject(
        gatewayError(ERRORS.listenerFailed, [`${host}:${port}`, errorText(error)], place, error),
      );
    });
    server.listen({ host, port }, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    async [Symbol.asyncDispose]() {
      server.close();
      server.closeAllConnections();
    },
  };
}
