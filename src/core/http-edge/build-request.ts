import type { IncomingMessage } from 'node:http';
import { isEndToEndHeader } from '../backends';
import type { Clock } from '../clock';
import type { Caller, CompiledConfiguration, Service } from '../configuration';
import { REFUSALS, RefusalError } from '../refusals';
import type { GatewayRequest, Header } from '../serving';
import { METHOD_OVERRIDE_HEADERS, TICKET_HEADER, hasNonRepeatableCalls } from '../tickets';

/** Turns what came over HTTP into a request for serving. */

/** Header by which a caller states how long it will wait, ms. */
export const DEADLINE_HEADER = 'x-deadline-ms';

/** Headers that stay at the edge: credentials, what the hop itself sets, and what only this system may say. */
const EDGE_HEADERS = new Set([
  'authorization',
  'host',
  'content-length',
  'expect',
  'x-request-id',
  'x-attempt',
  'idempotency-key',
  TICKET_HEADER,
  DEADLINE_HEADER,
]);

/** The parts from which a request is built. */
export interface RequestParts {
  readonly incoming: IncomingMessage;
  readonly requestId: string;
  readonly caller: Caller;
  readonly service: Service;
  readonly path: string;
  readonly body: Uint8Array;
  readonly configuration: CompiledConfiguration;
}

function malformed(detail: string): RefusalError {
  return new RefusalError(REFUSALS.malformedRequest, {
    detail,
    step: 'read-request',
    evidence: { kind: 'neverSent' },
  });
}

function passedHeaders(incoming: IncomingMessage, service: Service): Header[] {
  const dropsOverrides = hasNonRepeatableCalls(service);
  const headers: Header[] = [];
  for (let at = 0; at < incoming.rawHeaders.length; at += 2) {
    const name = incoming.rawHeaders[at] ?? '';
    const lowerName = name.toLowerCase();
    if (dropsOverrides && METHOD_OVERRIDE_HEADERS.has(lowerName)) continue;
    if (isEndToEndHeader(lowerName) && !EDGE_HEADERS.has(lowerName)) {
      headers.push({ name: lowerName, value: incoming.rawHeaders[at + 1] ?? '' });
    }
  }
  return headers;
}

function statedTimeMs(incoming: IncomingMessage, service: Service): number {
  const stated = incoming.headers[DEADLINE_HEADER];
  if (stated === undefined) return service.deadlineMs;
  const timeMs = Number(stated);
  const isSane = Number.isInteger(timeMs) && timeMs > 0 && timeMs <= service.longestDeadlineMs;
  if (isSane) return timeMs;
  throw malformed(
    `${DEADLINE_HEADER} must be a whole number of milliseconds from 1 to ${service.longestDeadlineMs}.`,
  );
}

/** The request, with its deadline on this process's clock. */
export function buildRequest(parts: RequestParts, clock: Clock): GatewayRequest {
  const { incoming, requestId, caller, service, path, body, configuration } = parts;
  return {
    requestId,
    attempt: 1,
    origin: { kind: 'caller' },
    caller,
    service,
    method: incoming.method ?? 'GET',
    path,
    headers: passedHeaders(incoming, service),
    body,
    deadlineAtMs: clock.monotonicMs() + statedTimeMs(incoming, service),
    configuration,
  };
}

/** The model that an OpenAI request body names. */
export function modelOf(body: Buffer): string {
  let value: unknown;
  try {
    value = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body));
  } catch {
    throw malformed('The body is not JSON in UTF-8.');
  }
  if (typeof value === 'object' && value !== null && 'model' in value) {
    if (typeof value.model === 'string') return value.model;
  }
  throw malformed('The body must be an object with a string "model".');
}
