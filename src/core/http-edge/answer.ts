import type { ServerResponse } from 'node:http';
import type { Clock } from '../clock';
import { PROBLEM_MEDIA_TYPE, retryAfterSeconds, toProblem } from '../refusals';
import type { RefusalError } from '../refusals';
import { TICKET_HEADER } from '../tickets';

/** Answers that the edge makes itself. */

/** Sends `value` as JSON. */
export function answerJson(response: ServerResponse, status: number, value: object): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends a refusal as RFC 9457 problem JSON. */
export function answerRefusal(
  response: ServerResponse,
  refusal: RefusalError,
  requestId: string,
  clock: Clock,
): void {
  const text = JSON.stringify(toProblem(refusal, requestId));
  const { retryAtUnixMs } = refusal;
  if (retryAtUnixMs !== undefined) {
    response.setHeader('retry-after', String(retryAfterSeconds(retryAtUnixMs, clock.unixMs())));
  }
  if (refusal.ticket !== undefined) response.setHeader(TICKET_HEADER, refusal.ticket.ticket);
  response.setHeader('x-request-id', requestId);
  response.writeHead(refusal.definition.status, {
    'content-type': PROBLEM_MEDIA_TYPE,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
