import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import createRouter from 'find-my-way';
import { bearerKey, secretsMatch } from '../access';
import type { ConfigurationStore } from '../configuration';
import { ERRORS, errorText, gatewayError } from '../errors';
import type { Metrics } from '../metrics';
import type { RouteExplanation } from '../serving';
import type { InstanceStatus } from './types';

/** What the operators' listener needs. */
export interface OperatorListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly operatorKey: string;
  readonly configuration: ConfigurationStore;
  readonly metrics: Metrics;
  readonly status: () => InstanceStatus;
  /** Why a request would go where; undefined for an unknown caller or service. */
  readonly explainRoute: (callerId: string, service: string) => RouteExplanation | undefined;
}

/** The operators' listener. */
export interface OperatorListener extends AsyncDisposable {
  readonly port: number;
}

function send(response: ServerResponse, status: number, contentType: string, text: string): void {
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function sendJson(response: ServerResponse, status: number, value: object | null): void {
  send(response, status, 'application/json', JSON.stringify(value));
}

function createRequestListener(options: OperatorListenerOptions) {
  const { operatorKey, configuration, metrics, status, explainRoute } = options;
  const router = createRouter({
    defaultRoute: (_incoming, response) => sendJson(response, 404, {}),
  });

  router.on('GET', '/status', (_incoming, response) => sendJson(response, 200, status()));
  router.on('GET', '/configuration', (_incoming, response) => {
    const text = configuration.currentText();
    if (text === undefined) sendJson(response, 404, {});
    else send(response, 200, 'application/json', text);
  });
  router.on('GET', '/routes/explain', (incoming, response) => {
    const query = new URL(incoming.url ?? '/', 'http://operators').searchParams;
    const explanation = explainRoute(query.get('caller') ?? '', query.get('service') ?? '');
    sendJson(response, 200, explanation ?? null);
  });
  router.on('GET', '/metrics', (_incoming, response) => {
    void metrics.export().then(({ contentType, text }) => send(response, 200, contentType, text));
  });

  return (incoming: IncomingMessage, response: ServerResponse): void => {
    const key = bearerKey(incoming.headers.authorization);
    if (key === undefined || !secretsMatch(key, operatorKey)) {
      sendJson(response, 401, { title: 'Send "Authorization: Bearer" with the operator key.' });
      return;
    }
    router.lookup(incoming, response);
  };
}

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const place = { step: 'listen-operators' };
      const reason = errorText(error);
      reject(gatewayError(ERRORS.listenerFailed, [`${host}:${port}`, reason], place, error));
    });
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Opens the operators' listener; it only reads, and asks for the operator key on every path. */
export async function openOperatorListener(
  options: OperatorListenerOptions,
): Promise<OperatorListener> {
  const server = createServer(createRequestListener(options));
  const port = await listen(server, options.host, options.port);
  return {
    port,
    async [Symbol.asyncDispose]() {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeAllConnections();
      await closed;
    },
  };
}
