import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { errorText } from '../errors';
import type { Logger } from '../events';
import type { Metrics } from '../metrics';
import { PROBLEM_MEDIA_TYPE, REFUSALS, RefusalError, toProblem } from '../refusals';
import type { RefusalDefinition } from '../refusals';
import { HTTP_EDGE_EVENTS } from './events';

/** What guarding connections needs. */
export interface ConnectionGuardOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly newRequestId: () => string;
  /** Open caller connections above which new ones are refused. */
  readonly mostConnections: number;
}

/** Why a connection gives no request. */
interface ConnectionFault {
  readonly definition: RefusalDefinition;
  readonly detail: string;
}

function errorCode(error: Error): string {
  return 'code' in error ? String(error.code) : '';
}

/** What to tell a caller whose bytes are no request that this server takes. */
export function faultOf(error: Error): ConnectionFault {
  switch (errorCode(error)) {
    case 'HPE_HEADER_OVERFLOW':
      return { definition: REFUSALS.headersTooLarge, detail: 'The header section is too large.' };
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { definition: REFUSALS.requestTooSlow, detail: 'The request came too slowly.' };
    default:
      return { definition: REFUSALS.malformedRequest, detail: `Not HTTP: ${errorText(error)}.` };
  }
}

function rawAnswer({ definition, detail }: ConnectionFault, requestId: string): string {
  const refusal = new RefusalError(definition, {
    detail,
    step: 'read-request',
    evidence: { kind: 'neverSent' },
  });
  const body = JSON.stringify(toProblem(refusal, requestId));
  return [
    `HTTP/1.1 ${definition.status} ${definition.title}`,
    `Content-Type: ${PROBLEM_MEDIA_TYPE}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}

/**
 * Answers connections that never become a request: too many of them, header sections that are too large or
 * too slow, bytes that are not HTTP.
 *
 * A connection may bring rubbish while an earlier request on it is still being served. Whatever is written
 * then would be read as that request's answer: a caller could take "not run" for an order that runs. So with
 * a request open the connection is only closed, which every client reads as no answer.
 */
export function guardConnections(server: Server, options: ConnectionGuardOptions): void {
  const { logger, metrics, newRequestId, mostConnections } = options;
  const openRequests = new WeakMap<Duplex, number>();
  let connections = 0;

  const refuse = (socket: Duplex, fault: ConnectionFault) => {
    logger.event(HTTP_EDGE_EVENTS.badConnection, {
      refusal: fault.definition.slug,
      detail: fault.detail,
    });
    if (!socket.writable || (openRequests.get(socket) ?? 0) > 0) {
      socket.destroy();
      return;
    }
    metrics.refused(fault.definition.slug, 'notRun');
    socket.end(rawAnswer(fault, newRequestId()));
  };

  const noteRequest = ({ socket }: IncomingMessage, response: ServerResponse) => {
    openRequests.set(socket, (openRequests.get(socket) ?? 0) + 1);
    response.on('close', () => openRequests.set(socket, (openRequests.get(socket) ?? 1) - 1));
  };

  server.prependListener('request', noteRequest);
  server.prependListener('checkContinue', noteRequest);
  server.on('clientError', (error, socket) => refuse(socket, faultOf(error)));
  server.on('connection', (socket) => {
    connections += 1;
    socket.on('close', () => {
      connections -= 1;
    });
    if (connections <= mostConnections) return;
    refuse(socket, {
      definition: REFUSALS.overloaded,
      detail: `More than ${mostConnections} connections are open; try another entry.`,
    });
  });
}
