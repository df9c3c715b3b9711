import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import createRouter from 'find-my-way';
import { ERRORS, errorText, gatewayError } from '../errors';
import { REFUSALS, RefusalError } from '../refusals';
import { SERVING_EVENTS } from '../serving';
import { TICKET_HEADER, refusedBeforeRecord } from '../tickets';
import { answerRefusal } from './answer';
import { guardConnections } from './connection-guard';
import { abortAnswer } from './http-sink';
import { createHandlers } from './routes';
import type { EdgeExchange, EdgeHandler } from './routes';
import { createRequestSlots } from './request-slots';
import type { HttpEdge, HttpEdgeOptions } from './types';

function asRefusal(error: unknown): RefusalError {
  if (error instanceof RefusalError) return error;
  return new RefusalError(REFUSALS.internalFault, {
    detail: 'An internal fault; the log has more.',
    step: 'answer',
    // Nobody can say how far the request had come.
    evidence: { kind: 'lostAfterSending', cause: 'aborted' },
    cause: error,
  });
}

function logRefusal(options: HttpEdgeOptions, refusal: RefusalError, requestId: string): void {
  options.metrics.refused(refusal.definition.slug, refusal.outcome);
  const isFault = refusal.definition === REFUSALS.internalFault;
  options.logger.event(isFault ? SERVING_EVENTS.fault : SERVING_EVENTS.refused, {
    requestId,
    refusal: refusal.definition.slug,
    outcome: refusal.outcome,
    step: refusal.step,
    peer: refusal.peer,
    detail: isFault ? errorText(refusal.cause) : refusal.message,
  });
}

/** Runs one handler and answers for it if it throws. */
async function handle(
  options: HttpEdgeOptions,
  handler: EdgeHandler,
  exchange: EdgeExchange,
): Promise<void> {
  const { incoming, response, requestId, signal } = exchange;
  try {
    await handler(exchange);
  } catch (error) {
    if (signal.aborted) {
      options.logger.event(SERVING_EVENTS.callerGone, { requestId });
      return;
    }
    const isPresentation = TICKET_HEADER in incoming.headers;
    const refusal = asRefusal(isPresentation ? refusedBeforeRecord(error) : error);
    if (response.headersSent) {
      options.logger.event(SERVING_EVENTS.answerCutShort, { requestId, detail: refusal.message });
      abortAnswer(response, refusal, requestId, options.clock);
      return;
    }
    logRefusal(options, refusal, requestId);
    // A body that nobody will read must not hold the connection open for the next request.
    if (!incoming.complete) response.setHeader('connection', 'close');
    answerRefusal(response, refusal, requestId, options.clock);
  }
}

/** Aborts when the connection closes before the answer has ended. */
function goneSignal(response: ServerResponse): AbortSignal {
  const gone = new AbortController();
  response.on('close', () => {
    if (!response.writableEnded) gone.abort();
  });
  return gone.signal;
}

function isDecodable(path: string): boolean {
  try {
    decodeURI(path);
    return true;
  } catch {
    return false;
  }
}

function createRequestListener(options: HttpEdgeOptions) {
  const handlers = createHandlers(options);
  const router = createRouter({ ignoreTrailingSlash: false });
  const expecting = new WeakSet<IncomingMessage>();

  const run = (
    handler: EdgeHandler,
    incoming: IncomingMessage,
    response: ServerResponse,
    params: EdgeExchange['params'],
  ) => {
    const expectsContinue = expecting.has(incoming);
    const requestId = options.newRequestId();
    const signal = goneSignal(response);
    options.draining.recordArrival();
    // A caller that keeps its connection would send its next request to an instance that is about to go.
    if (options.draining.isStopping()) response.setHeader('connection', 'close');
    void handle(options, handler, {
      incoming,
      response,
      requestId,
      expectsContinue,
      signal,
      params,
    });
  };

  const slots = createRequestSlots(options.limits.concurrentRequests, options.clock);
  const inSlot =
    (handler: EdgeHandler): EdgeHandler =>
    async (exchange) => {
      const slot = slots.take();
      try {
        await handler(exchange);
      } finally {
        slot[Symbol.dispose]();
      }
    };

  const on = (method: 'GET' | 'POST', path: string, handler: EdgeHandler) =>
    router.on(method, path, (incoming, response, params) =>
      run(handler, incoming, response, params),
    );

  on('POST', '/v1/chat/completions', inSlot(handlers.serveModel));
  on('POST', '/v1/completions', inSlot(handlers.serveModel));
  on('GET', '/v1/models', handlers.listModels);
  on('GET', '/v1/entry', handlers.nameEntry);
  on('GET', '/healthz', handlers.health);
  on('GET', '/readyz', handlers.readiness);
  router.all('/services/:service/*', (incoming, response, params) =>
    run(inSlot(handlers.servePlain), incoming, response, params),
  );

  const unknownPath: EdgeHandler = async ({ incoming }) => {
    if (!isDecodable(incoming.url ?? '/')) {
      throw new RefusalError(REFUSALS.malformedRequest, {
        detail: 'The path has a broken percent-encoding.',
        step: 'find-path',
        evidence: { kind: 'neverSent' },
      });
    }
    throw new RefusalError(REFUSALS.unknownPath, {
      detail: `${incoming.method} ${incoming.url?.split('?')[0]} is not served here.`,
      step: 'find-path',
      evidence: { kind: 'neverSent' },
    });
  };

  const listener = (incoming: IncomingMessage, response: ServerResponse): void => {
    const found = router.find(incoming.method as 'GET', incoming.url ?? '/');
    if (found === null) {
      run(unknownPath, incoming, response, {});
      return;
    }
    void router.lookup(incoming, response);
  };
  /** For callers that wait to be asked for their body: a handler that reads it asks, one that refuses does not. */
  const continueListener = (incoming: IncomingMessage, response: ServerResponse): void => {
    expecting.add(incoming);
    listener(incoming, response);
  };
  return { listener, continueListener };
}

function listen(server: Server, { host, port }: HttpEdgeOptions): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      const place = { step: 'listen-callers' };
      reject(
        gatewayError(ERRORS.listenerFailed, [`${host}:${port}`, errorText(error)], place, error),
      );
    });
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
  });
}

/** How often connections that have turned idle are looked for while the listener closes. */
const CLOSE_IDLE_EVERY_MS = 50;

/** Opens the callers' listener. */
export async function openHttpEdge(options: HttpEdgeOptions): Promise<HttpEdge> {
  const { limits, logger, clock } = options;
  const { listener, continueListener } = createRequestListener(options);
  const server = createServer(
    {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
    },
    listener,
  );
  server.on('checkContinue', continueListener);
  guardConnections(server, {
    logger,
    metrics: options.metrics,
    newRequestId: options.newRequestId,
    mostConnections: limits.connections,
  });
  const port = await listen(server, options);

  /** Connections whose last answer ended after the close turn idle and would be kept for their timeout. */
  const closeIdleUntil = (isClosed: () => boolean): void => {
    if (isClosed()) return;
    server.closeIdleConnections();
    clock.schedule(clock.monotonicMs() + CLOSE_IDLE_EVERY_MS, () => closeIdleUntil(isClosed));
  };

  const drain = (): Promise<void> =>
    new Promise((resolve) => {
      let closed = false;
      server.close(() => {
        closed = true;
        resolve();
      });
      closeIdleUntil(() => closed);
    });

  return {
    port,
    drain,
    async [Symbol.asyncDispose]() {
      const closed = drain();
      server.closeAllConnections();
      await closed;
    },
  };
}
